// Mutual challenge-response authentication of two entry VMs with the shared
// fleet key. The client sends hello 1 with its challenge, the server replies
// with hello 2 (challenge and response), and the client completes the handshake
// with hello 3 (response). Each response covers both challenges, both addresses
// and the role of its sender, which makes it valid for one connection only and
// prevents reflection.
#ifndef MODULES_PEER_LINK_PEER_HANDSHAKE_H_
#define MODULES_PEER_LINK_PEER_HANDSHAKE_H_

#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "core/network_address.h"
#include "modules/peer_link/session_seal.h"
#include "servers/membership/peer_message.h"

namespace papayakeel {

enum class handshake_error {
  kUnexpected,   // Not a hello, or not the expected step.
  kBadResponse,  // The response does not verify with the fleet key.
  kOwnAddress,   // The peer is this process or claims the same address.
};

// Returns the name of `error` for logs and metrics.
const char* ToString(handshake_error error);

// Parses a key of exactly 64 hexadecimal digits.
std::optional<session_key> ParseFleetKey(std::string_view text);

class peer_handshake {
 public:
  enum class role { kClient, kServer };

  // `challenge` must be 32 random bytes that are used for one handshake only.
  peer_handshake(role own_role,
                 session_key fleet_key,
                 network_address own_address,
                 std::string challenge);

  // Returns hello 1, which only the client sends.
  peer_message MakeInitialHello() const;

  // Processes a hello from the peer. Returns the hello to send in reply, if
  // any.
  tl::expected<std::optional<peer_message>, handshake_error> Handle(
      const peer_message& hello);

  // Whether the peer has proved knowledge of the fleet key and the response of
  // this side has been created.
  bool is_complete() const { return is_complete_; }

  // Address claimed by the peer. Valid once the handshake is complete.
  const network_address& peer_address() const { return peer_address_; }

  // Returns the seal with the session keys. Valid once the handshake is
  // complete.
  session_seal MakeSeal() const;

 private:
  std::string DeriveKeyedHash(std::string_view purpose) const;
  peer_message MakeHello(unsigned step) const;

  const role role_;
  const session_key fleet_key_;
  const network_address own_address_;
  const std::string own_challenge_;
  std::string peer_challenge_;
  network_address peer_address_;
  bool is_complete_ = false;
};

}  // namespace papayakeel

#endif  // MODULES_PEER_LINK_PEER_HANDSHAKE_H_
