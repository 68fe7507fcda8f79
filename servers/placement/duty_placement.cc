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

// Returns the members in `state` that are not excluded.
std::vector<const member*> MembersIn(
    member_state state,
    const std::vector<member>& members,
    const std::function<bool(const member&)>& is_excluded) {
  std::vector<const member*> found;
  for (const member& each : members) {
    if (each.state == state && (!is_excluded || !is_excluded(each)))
      found.push_back(&each);
  }
  return found;
}

}  // namespace

std::vector<member> SelectMembersForDuty(
    std::string_view name,
    const std::vector<member>& members,
    std::size_t count,
    const std::function<bool(const member&)>& is_excluded) {
  std::vector<const member*> usable =
      MembersIn(member_state::kAlive, members, is_excluded);
  // In a fleet that stops as a whole, nobody is alive, but leaving members work
  // until they end.
  if (usable.empty())
    usable = MembersIn(member_state::kLeaving, members, is_excluded);
  std::uint64_t largest = 0;
  for (const member* each : usable)
    largest = std::max(largest, each->capacity);
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
