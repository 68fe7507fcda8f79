// Frame layout: sequence number (big-endian), payload, MAC over both.
#include "modules/peer_link/session_seal.h"

#include <sodium.h>

namespace papayakeel {

namespace {

constexpr std::size_t kSequenceBytes = 8;
constexpr std::size_t kMacBytes = 16;
static_assert(kSequenceBytes + kMacBytes == session_seal::kOverheadBytes);
static_assert(kMacBytes >= crypto_generichash_BYTES_MIN);

using mac = std::array<unsigned char, kMacBytes>;

mac ComputeMac(std::string_view mac_input, const session_key& key) {
  mac computed;
  crypto_generichash(computed.data(), computed.size(),
                     reinterpret_cast<const unsigned char*>(mac_input.data()),
                     mac_input.size(), key.data(), key.size());
  return computed;
}

}  // namespace

const char* ToString(seal_error error) {
  switch (error) {
    case seal_error::kTooShort:
      return "too_short";
    case seal_error::kBadMac:
      return "bad_mac";
    case seal_error::kBadSequence:
      return "bad_sequence";
  }
  return "unknown";
}

session_seal::session_seal(session_key send_key, session_key receive_key)
    : send_key_(send_key), receive_key_(receive_key) {}

std::string session_seal::Seal(std::string_view payload) {
  std::string frame;
  frame.reserve(payload.size() + kOverheadBytes);
  for (std::size_t byte = 0; byte < kSequenceBytes; ++byte) {
    const std::size_t shift = 8 * (kSequenceBytes - 1 - byte);
    frame += static_cast<char>(next_sent_ >> shift & 0xff);
  }
  ++next_sent_;
  frame += payload;
  const mac computed = ComputeMac(frame, send_key_);
  frame.append(reinterpret_cast<const char*>(computed.data()), computed.size());
  return frame;
}

tl::expected<std::string_view, seal_error> session_seal::Open(
    std::string_view frame) {
  if (frame.size() < kOverheadBytes)
    return tl::unexpected(seal_error::kTooShort);
  const std::string_view mac_input = frame.substr(0, frame.size() - kMacBytes);
  const mac computed = ComputeMac(mac_input, receive_key_);
  if (sodium_memcmp(computed.data(), frame.data() + mac_input.size(),
                    kMacBytes) != 0) {
    return tl::unexpected(seal_error::kBadMac);
  }
  std::uint64_t sequence = 0;
  for (std::size_t byte = 0; byte < kSequenceBytes; ++byte)
    sequence = sequence << 8 | static_cast<unsigned char>(mac_input[byte]);
  if (sequence != next_received_)
    return tl::unexpected(seal_error::kBadSequence);
  ++next_received_;
  return mac_input.substr(kSequenceBytes);
}

}  // namespace papayakeel
