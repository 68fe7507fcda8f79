// Rendezvous hashing with bounded loads.
#include "servers/placement/entry_placement.h"

#include <algorithm>
#include <map>
#include <string>

#include "core/rendezvous_hash.h"

namespace papayakeel {

namespace {

std::vector<network_address> RankEntryVms(
    std::string_view service_name,
    const std::vector<network_address>& entry_vms) {
  std::map<std::string, network_address> by_name;
  std::vector<std::string> names;
  for (const network_address& each : entry_vms) {
    const std::string entry_name = each.ToString();
    if (by_name.emplace(entry_name, each).second)
      names.push_back(entry_name);
  }
  std::vector<network_address> ranked;
  for (const std::string& entry_name :
       RendezvousOrder(service_name, std::move(names))) {
    ranked.push_back(by_name[entry_name]);
  }
  return ranked;
}

std::size_t EffectiveHomeCount(int homes, std::size_t entry_vms) {
  const std::size_t wanted = static_cast<std::size_t>(std::max(homes, 1));
  return std::min(wanted, entry_vms);
}

}  // namespace

std::vector<network_address> OrderEntryVms(
    std::string_view service_name,
    const std::vector<network_address>& entry_vms,
    int homes,
    std::string_view caller_key) {
  std::vector<network_address> ranked = RankEntryVms(service_name, entry_vms);
  const std::size_t home_count = EffectiveHomeCount(homes, ranked.size());
  if (home_count < 2)
    return ranked;
  const std::size_t first =
      RendezvousWeight(service_name, caller_key) % home_count;
  const auto homes_end =
      ranked.begin() + static_cast<std::ptrdiff_t>(home_count);
  std::rotate(ranked.begin(),
              ranked.begin() + static_cast<std::ptrdiff_t>(first), homes_end);
  return ranked;
}

std::vector<endpoint_info> SelectEndpoints(
    std::string_view service_name,
    const std::vector<network_address>& entry_vms,
    int homes,
    const network_address& self,
    const std::vector<endpoint_info>& endpoints) {
  std::vector<network_address> ranked = RankEntryVms(service_name, entry_vms);
  ranked.resize(EffectiveHomeCount(homes, ranked.size()));
  const bool is_home =
      std::find(ranked.begin(), ranked.end(), self) != ranked.end();
  if (!is_home || ranked.size() < 2)
    return endpoints;

  // Leaving endpoints accept no new requests, so each home serves all of them
  // and only the remaining endpoints are partitioned.
  std::vector<endpoint_info> selected;
  std::vector<endpoint_info> remaining_endpoints;
  for (const endpoint_info& endpoint : endpoints)
    (endpoint.is_leaving ? selected : remaining_endpoints).push_back(endpoint);

  // Assigns each endpoint, in address order, to its highest ranked home below
  // the bound, which limits every partition to the rounded-up average size.
  std::sort(remaining_endpoints.begin(), remaining_endpoints.end(),
            [](const endpoint_info& left, const endpoint_info& right) {
              return left.address < right.address;
            });
  const std::size_t max_endpoints_per_home =
      (remaining_endpoints.size() + ranked.size() - 1) / ranked.size();
  std::vector<std::string> home_names;
  home_names.reserve(ranked.size());
  for (const network_address& home : ranked)
    home_names.push_back(home.ToString());
  std::map<std::string, std::size_t> endpoint_counts;
  for (const endpoint_info& endpoint : remaining_endpoints) {
    const std::vector<std::string> preference =
        RendezvousOrder(endpoint.address.ToString(), home_names);
    for (const std::string& home : preference) {
      if (endpoint_counts[home] >= max_endpoints_per_home)
        continue;
      ++endpoint_counts[home];
      if (home == self.ToString())
        selected.push_back(endpoint);
      break;
    }
  }
  return selected;
}

}  // namespace papayakeel
