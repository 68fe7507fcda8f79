// Selection of entry VMs for callers by processor capacity.
#include "servers/placement/caller_placement.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "core/rendezvous_hash.h"

namespace papayakeel {

namespace {

// Callers need a second address when the first one fails.
constexpr std::size_t kMinVms = 2;

// Total processor capacity of the entry VMs selected for the callers of an
// availability zone, in thousandths of a core. A request takes about 0.3 ms of
// processor time, so one core handles over 3,000 requests per second; the
// busiest availability zone of the organisations that run this load balancer
// sends 360.
constexpr std::uint64_t kSufficientCapacityMillicores = 1000;

}  // namespace

std::vector<member> SelectEntryVmsForCallers(std::string_view availability_zone,
                                             const std::vector<member>& usable,
                                             std::size_t max_count) {
  std::vector<member> candidates;
  for (const member& each : usable) {
    if (each.availability_zone == availability_zone)
      candidates.push_back(each);
  }
  if (candidates.size() < kMinVms)
    candidates = usable;
  // VMs of equal capacity are ordered by rendezvous hashing, because all
  // processes must return the same VMs for callers to keep using them.
  std::sort(candidates.begin(), candidates.end(),
            [availability_zone](const member& left, const member& right) {
              if (left.capacity != right.capacity)
                return left.capacity > right.capacity;
              const std::string left_name = left.peer_address.ToString();
              const std::string right_name = right.peer_address.ToString();
              return RendezvousWeight(availability_zone, left_name) >
                     RendezvousWeight(availability_zone, right_name);
            });
  std::vector<member> chosen;
  std::uint64_t capacity = 0;
  for (member& each : candidates) {
    const bool is_sufficient =
        chosen.size() >= kMinVms && capacity >= kSufficientCapacityMillicores;
    if (is_sufficient || chosen.size() == max_count)
      break;
    capacity += each.capacity;
    chosen.push_back(std::move(each));
  }
  return chosen;
}

}  // namespace papayakeel
