// Computes and verifies handshake responses and derives session keys.
#include "modules/peer_link/peer_handshake.h"

#include <algorithm>
#include <utility>

#include <sodium.h>

namespace papayakeel {

namespace {

constexpr std::string_view kClientResponse = "papayakeel client response";
constexpr std::string_view kServerResponse = "papayakeel server response";
constexpr std::string_view kClientKey = "papayakeel client session key";
constexpr std::string_view kServerKey = "papayakeel server session key";

// Appends `part` with a 16-bit length prefix, which keeps the hash input
// unambiguous for different lists of parts.
void AppendPart(std::string& text, std::string_view part) {
  text += static_cast<char>(part.size() >> 8 & 0xff);
  text += static_cast<char>(part.size() & 0xff);
  text += part;
}

session_key ToKey(const std::string& bytes) {
  session_key key{};
  std::copy_n(bytes.begin(), std::min(bytes.size(), key.size()), key.begin());
  return key;
}

bool IsEqual(const std::string& left, const std::string& right) {
  return left.size() == right.size() &&
         sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

const char* ToString(handshake_error error) {
  switch (error) {
    case handshake_error::kUnexpected:
      return "unexpected_hello";
    case handshake_error::kBadResponse:
      return "bad_response";
    case handshake_error::kOwnAddress:
      return "own_address";
  }
  return "unknown";
}

std::optional<session_key> ParseFleetKey(std::string_view text) {
  session_key key{};
  std::size_t length = 0;
  const bool is_hexadecimal =
      sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr,
                     &length, nullptr) == 0;
  if (!is_hexadecimal || length != key.size() || text.size() != 2 * length)
    return std::nullopt;
  return key;
}

peer_handshake::peer_handshake(role own_role,
                               session_key fleet_key,
                               network_address own_address,
                               std::string challenge)
    : role_(own_role),
      fleet_key_(fleet_key),
      own_address_(std::move(own_address)),
      own_challenge_(std::move(challenge)) {}

peer_message peer_handshake::MakeHello(unsigned step) const {
  peer_message hello;
  hello.type = peer_message_type::kHello;
  hello.sender.peer_address = own_address_;
  hello.hello_step = step;
  if (step != 3)
    hello.challenge = own_challenge_;
  if (step != 1)
    hello.response = DeriveKeyedHash(role_ == role::kClient ? kClientResponse
                                                            : kServerResponse);
  return hello;
}

peer_message peer_handshake::MakeInitialHello() const {
  return MakeHello(1);
}

tl::expected<std::optional<peer_message>, handshake_error>
peer_handshake::Handle(const peer_message& hello) {
  const bool is_final_step = role_ == role::kServer && !peer_challenge_.empty();
  const unsigned expected_step =
      role_ == role::kClient ? 2 : (is_final_step ? 3 : 1);
  const bool is_expected = !is_complete_ &&
                           hello.type == peer_message_type::kHello &&
                           hello.hello_step == expected_step;
  if (!is_expected)
    return tl::unexpected(handshake_error::kUnexpected);
  if (is_final_step) {
    const bool is_valid_proof =
        hello.sender.peer_address == peer_address_ &&
        IsEqual(hello.response, DeriveKeyedHash(kClientResponse));
    if (!is_valid_proof)
      return tl::unexpected(handshake_error::kBadResponse);
    is_complete_ = true;
    return std::nullopt;
  }
  if (hello.sender.peer_address == own_address_)
    return tl::unexpected(handshake_error::kOwnAddress);
  peer_address_ = hello.sender.peer_address;
  peer_challenge_ = hello.challenge;
  if (role_ == role::kServer)
    return MakeHello(2);
  if (!IsEqual(hello.response, DeriveKeyedHash(kServerResponse)))
    return tl::unexpected(handshake_error::kBadResponse);
  is_complete_ = true;
  return MakeHello(3);
}

session_seal peer_handshake::MakeSeal() const {
  const session_key client_key = ToKey(DeriveKeyedHash(kClientKey));
  const session_key server_key = ToKey(DeriveKeyedHash(kServerKey));
  return role_ == role::kClient ? session_seal(client_key, server_key)
                                : session_seal(server_key, client_key);
}

std::string peer_handshake::DeriveKeyedHash(std::string_view purpose) const {
  const bool is_client = role_ == role::kClient;
  std::string mac_input;
  AppendPart(mac_input, purpose);
  AppendPart(mac_input, is_client ? own_challenge_ : peer_challenge_);
  AppendPart(mac_input, is_client ? peer_challenge_ : own_challenge_);
  AppendPart(mac_input, (is_client ? own_address_ : peer_address_).ToString());
  AppendPart(mac_input, (is_client ? peer_address_ : own_address_).ToString());
  session_key derived{};
  crypto_generichash(derived.data(), derived.size(),
                     reinterpret_cast<const unsigned char*>(mac_input.data()),
                     mac_input.size(), fleet_key_.data(), fleet_key_.size());
  return {derived.begin(), derived.end()};
}

}  // namespace papayakeel
