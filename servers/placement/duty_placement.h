// Selects the entry VMs that perform a duty for the fleet: owning a service, or
// reading the platform's store on behalf of other VMs. The selection is a pure
// function of the known members, so processes with the same membership view
// select the same VMs without communication.
#ifndef SERVERS_PLACEMENT_DUTY_PLACEMENT_H_
#define SERVERS_PLACEMENT_DUTY_PLACEMENT_H_

#include <cstddef>
#include <functional>
#include <string_view>
#include <vector>

#include "servers/membership/member.h"

namespace papayakeel {

// Returns up to `count` members for the duty `name`, in descending order of
// rendezvous weight, among those with close to the largest processor capacity.
// Members that are leaving are chosen only when none is alive; suspect and dead
// ones never are. `is_excluded` is optional. The result is empty when no member
// is left: never for the members of an `entry_directory` without exclusions,
// because they contain the process itself, which is alive or leaving.
std::vector<member> SelectMembersForDuty(
    std::string_view name,
    const std::vector<member>& members,
    std::size_t count,
    const std::function<bool(const member&)>& is_excluded = nullptr);

}  // namespace papayakeel

#endif  // SERVERS_PLACEMENT_DUTY_PLACEMENT_H_
