// Integrity and replay protection for one authenticated connection. Each
// message carries a sequence number and a MAC. Each direction has its own key.
#ifndef MODULES_PEER_LINK_SESSION_SEAL_H_
#define MODULES_PEER_LINK_SESSION_SEAL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace papayakeel {

enum class seal_error {
  kTooShort,
  kBadMac,       // Altered, or sealed with another key.
  kBadSequence,  // Replayed, lost or reordered.
};

// Returns the name of `error` for logs and metrics.
const char* ToString(seal_error error);

using session_key = std::array<unsigned char, 32>;

class session_seal {
 public:
  // 8 bytes of sequence number and 16 bytes of MAC. 128 bits suffice because an
  // attacker has one attempt: the first bad MAC closes the connection.
  static constexpr std::size_t kOverheadBytes = 24;

  session_seal(session_key send_key, session_key receive_key);

  // Returns `payload` as the next frame to send.
  std::string Seal(std::string_view payload);

  // Verifies `frame` and returns its payload as a view into `frame`. The caller
  // must close the connection after an error.
  tl::expected<std::string_view, seal_error> Open(std::string_view frame);

 private:
  const session_key send_key_;
  const session_key receive_key_;
  std::uint64_t next_sent_ = 0;
  std::uint64_t next_received_ = 0;
};

}  // namespace papayakeel

#endif  // MODULES_PEER_LINK_SESSION_SEAL_H_
