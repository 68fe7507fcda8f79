// What one entry VM knows about another (or about itself).
#ifndef SERVERS_MEMBERSHIP_MEMBER_H_
#define SERVERS_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>

#include "core/network_address.h"

namespace papayakeel {

enum class member_state {
  kAlive,
  kSuspect,
  kLeaving,
  kDead,
};

// Returns the name of `state` for JSON and logs.
const char* ToString(member_state state);

struct member {
  network_address peer_address;    // Identity; where peers connect.
  network_address caller_address;  // Where callers connect.
  std::string availability_zone;

  // Processor capacity in thousandths of a core; 0 when it is not known. Set at
  // the start of the process.
  std::uint64_t capacity = 0;

  // Drawn at process start; tells a replaced process from its predecessor.
  std::uint64_t incarnation = 0;
  // Raised by the member itself to refute a suspicion; compared only within
  // one incarnation.
  std::uint64_t counter = 0;
  member_state state = member_state::kAlive;

  std::string epoch;  // Current epoch for operation keys.
  std::uint64_t bundle_version = 0;
  std::uint64_t bundle_hash = 0;  // First 8 bytes of the content hash.
};

}  // namespace papayakeel

#endif  // SERVERS_MEMBERSHIP_MEMBER_H_
