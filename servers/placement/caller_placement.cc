// Choice of entry VMs for callers by capacity.
#include "servers/placement/caller_placement.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "core/rendezvous_hash.h"

namespace papayakeel {

namespace {

// Callers need an address besides one that has failed them.
constexpr std::size_t kLeastVms = 2;

// Processor capacity named to the callers of a zone, in thousandths of a core.
// A request costs about 0.3 ms of processor time, so this carries over 3,000
// requests a second; the busiest zone of the users sends 360.
constexpr std::uint64_t kEnoughCapacity = 1000;

}  // namespace

std::vector<member> ChooseForCallers(std::string_view availability_zone,
                                     const std::vector<member>& usable,
                                     std::size_t most) {
  std::vector<member> candidates;
  for (const member& each : usable) {
    if (each.availability_zone == availability_zone)
      candidates.push_back(each);
  }
  if (candidates.size() < kLeastVms)
    candidates = usable;
  // VMs of one size are ordered by hashes, so that all processes name the same
  // ones and callers stay with them.
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
    const bool is_enough =
        chosen.size() >= kLeastVms && capacity >= kEnoughCapacity;
    if (is_enough || chosen.size() == most)
      break;
    capacity += each.capacity;
    chosen.push_back(std::move(each));
  }
  return chosen;
}

}  // namespace papayakeel
