// Record that one entry VM holds about another entry VM or about itself.
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
  network_address peer_address;    // Identity; peers connect here.
  network_address caller_address;  // Callers connect here.
  std::string availability_zone;

  // Processor capacity in thousandths of a core; 0 if unknown. Set at process
  // start.
  std::uint64_t capacity = 0;

  // Random number drawn at process start. Distinguishes a process from its
  // predecessor at the same address.
  std::uint64_t incarnation = 0;
  // Raised only by the member itself, when its record changes or to refute a
  // suspect or dead report. Comparable only within one incarnation.
  std::uint64_t counter = 0;
  member_state state = member_state::kAlive;

  std::string epoch;  // Current epoch for operation keys.
  std::uint64_t bundle_version = 0;
  std::uint64_t bundle_hash = 0;  // First 8 bytes of the content hash.
};

}  // namespace papayakeel

#endif  // SERVERS_MEMBERSHIP_MEMBER_H_
