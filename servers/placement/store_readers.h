// Decides which entry VMs of a fleet call the platform's store. In a large
// fleet a few readers do, and a few standby readers when no reader is served;
// the others read from these. The plan is a pure function of the known members,
// so that processes with the same membership view agree without communication.
#ifndef SERVERS_PLACEMENT_STORE_READERS_H_
#define SERVERS_PLACEMENT_STORE_READERS_H_

#include <cstddef>
#include <vector>

#include "core/network_address.h"
#include "servers/membership/member.h"

namespace papayakeel {

// Fleets of at least this size have readers.
constexpr std::size_t kMinRelayedFleetSize = 30;

enum class store_duty {
  kAlone,     // The fleet is small: each VM reads for itself.
  kReader,    // Reads the store for others.
  kStandby,   // Reads the store for others while the readers cannot.
  kFollower,  // Reads from the others.
};

// Returns the name of `duty` for JSON and logs.
const char* ToString(store_duty duty);

struct reader_plan {
  store_duty duty = store_duty::kAlone;
  // Peer addresses, in descending order of rendezvous weight, without the
  // process itself. Empty for `kAlone`.
  std::vector<network_address> readers;
  std::vector<network_address> standbys;
};

// Returns the plan of the process at the peer address `self`. Standby readers
// are the members after the readers; VMs with less processor capacity are
// chosen after those with more.
reader_plan PlanStoreReaders(const std::vector<member>& members,
                             const network_address& self);

}  // namespace papayakeel

#endif  // SERVERS_PLACEMENT_STORE_READERS_H_
