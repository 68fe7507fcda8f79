// Which entry VMs callers are told to use. Pure function of the members known.
//
// Answers fleets of unequal VMs: a VM with a tenth of a core and a slow link
// delays uploads and keeps hundreds of idle connections to endpoints, so that
// callers are sent to the large ones while those can carry them.
#ifndef SERVERS_PLACEMENT_CALLER_PLACEMENT_H_
#define SERVERS_PLACEMENT_CALLER_PLACEMENT_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "servers/membership/member.h"

namespace papayakeel {

// Returns up to `most` of the `usable` members for callers of the availability
// zone: VMs of that zone, or of all when it has fewer than two, the largest
// first, until their processor capacity suffices.
std::vector<member> ChooseForCallers(std::string_view availability_zone,
                                     const std::vector<member>& usable,
                                     std::size_t most);

}  // namespace papayakeel

#endif  // SERVERS_PLACEMENT_CALLER_PLACEMENT_H_
