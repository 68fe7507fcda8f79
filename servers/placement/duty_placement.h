// Which entry VMs perform a duty for the fleet: own a service, or read the
// platform's store for the others. Pure functions of the members known, so that
// processes with the same view choose the same VMs without any message.
#ifndef SERVERS_PLACEMENT_DUTY_PLACEMENT_H_
#define SERVERS_PLACEMENT_DUTY_PLACEMENT_H_

#include <cstddef>
#include <functional>
#include <string_view>
#include <vector>

#include "servers/membership/member.h"

namespace papayakeel {

// Returns up to `count` live members for the duty `name`, best first, among
// those with about the largest processor capacity. `is_excluded` is optional.
std::vector<member> ChooseForDuty(
    std::string_view name,
    const std::vector<member>& members,
    std::size_t count,
    const std::function<bool(const member&)>& is_excluded = nullptr);

}  // namespace papayakeel

#endif  // SERVERS_PLACEMENT_DUTY_PLACEMENT_H_
