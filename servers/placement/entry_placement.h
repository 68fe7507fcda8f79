// Selects the entry VMs that callers of a service should use and the endpoints
// that each entry VM serves. Pure functions of their arguments: processes with
// different membership views may select differently, which affects only
// latency.
#ifndef SERVERS_PLACEMENT_ENTRY_PLACEMENT_H_
#define SERVERS_PLACEMENT_ENTRY_PLACEMENT_H_

#include <string_view>
#include <vector>

#include "core/network_address.h"
#include "servers/dispatch/endpoint_info.h"

namespace papayakeel {

// Returns all `entry_vms` in the order in which a caller should try them. The
// first `homes` entry VMs in rendezvous order are the homes of the service;
// they come first, rotated by `caller_key` to distribute callers. The other
// entry VMs follow as fallback.
std::vector<network_address> OrderEntryVms(
    std::string_view service_name,
    const std::vector<network_address>& entry_vms,
    int homes,
    std::string_view caller_key);

// Returns the endpoints that `self` serves. If there are two or more homes,
// each home serves all leaving endpoints and its own partition of the others,
// which holds at most the rounded-up average number of endpoints per home. An
// entry VM that is not a home, or is the only home, serves all endpoints.
std::vector<endpoint_info> SelectEndpoints(
    std::string_view service_name,
    const std::vector<network_address>& entry_vms,
    int homes,
    const network_address& self,
    const std::vector<endpoint_info>& endpoints);

}  // namespace papayakeel

#endif  // SERVERS_PLACEMENT_ENTRY_PLACEMENT_H_
