// Selects the entry VMs that callers should use. Pure function of the known
// members.
//
// In a fleet of unequal VMs, a VM with a tenth of a core and a slow link delays
// uploads and keeps hundreds of idle connections to endpoints. Callers are
// therefore sent to the largest VMs while these have sufficient capacity.
#ifndef SERVERS_PLACEMENT_CALLER_PLACEMENT_H_
#define SERVERS_PLACEMENT_CALLER_PLACEMENT_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "servers/membership/member.h"

namespace papayakeel {

// Returns up to `max_count` of the `usable` members for callers of the
// availability zone, the largest first, until their total processor capacity is
// sufficient. Candidates are the VMs of that zone, or of all zones if that zone
// has fewer than two.
std::vector<member> SelectEntryVmsForCallers(std::string_view availability_zone,
                                             const std::vector<member>& usable,
                                             std::size_t max_count);

}  // namespace papayakeel

#endif  // SERVERS_PLACEMENT_CALLER_PLACEMENT_H_
