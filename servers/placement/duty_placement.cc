// Rendezvous hashing among the members with the largest capacity.
#include "servers/placement/duty_placement.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "core/rendezvous_hash.h"

namespace papayakeel {

namespace {

// Members with at least this fraction of the largest capacity are treated as
// equally suitable.
constexpr double kMinCapacityRatio = 0.8;

}  // namespace

std::vector<member> SelectMembersForDuty(
    std::string_view name,
    const std::vector<member>& members,
    std::size_t count,
    const std::function<bool(const member&)>& is_excluded) {
  std::vector<const member*> usable;
  std::uint64_t largest = 0;
  for (const member& each : members) {
    const bool is_usable = each.state == member_state::kAlive &&
                           (!is_excluded || !is_excluded(each));
    if (!is_usable)
      continue;
    usable.push_back(&each);
    largest = std::max(largest, each.capacity);
  }
  const double min_capacity = kMinCapacityRatio * static_cast<double>(largest);
  std::vector<std::pair<std::uint64_t, const member*>> ranked;
  for (const member* each : usable) {
    if (static_cast<double>(each->capacity) >= min_capacity) {
      ranked.emplace_back(RendezvousWeight(name, each->peer_address.ToString()),
                          each);
    }
  }
  std::sort(
      ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
        return left.first != right.first
                   ? left.first > right.first
                   : left.second->peer_address < right.second->peer_address;
      });
  std::vector<member> chosen;
  for (const auto& [weight, each] : ranked) {
    if (chosen.size() < count)
      chosen.push_back(*each);
  }
  return chosen;
}

}  // namespace papayakeel
