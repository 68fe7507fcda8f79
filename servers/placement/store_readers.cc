// Readers and standby readers by rendezvous hashing.
#include "servers/placement/store_readers.h"

#include <algorithm>
#include <string_view>

#include "servers/placement/duty_placement.h"

namespace papayakeel {

namespace {

constexpr std::string_view kDutyName = "store readers";
constexpr std::size_t kReaderCount = 3;
// A store that turns away a third of the VMs, all readers among them, turns
// away six others with a probability of 1 in 729. Each standby reader costs a
// silent store five calls in 8 s.
constexpr std::size_t kStandbyCount = 6;

}  // namespace

const char* ToString(store_duty duty) {
  switch (duty) {
    case store_duty::kAlone:
      return "alone";
    case store_duty::kReader:
      return "reader";
    case store_duty::kStandby:
      return "standby";
    case store_duty::kFollower:
      return "follower";
  }
  return "";
}

reader_plan PlanStoreReaders(const std::vector<member>& members,
                             const network_address& self) {
  reader_plan plan;
  if (members.size() < kMinRelayedFleetSize)
    return plan;
  plan.duty = store_duty::kFollower;
  std::vector<network_address> chosen;
  const auto choose = [&](std::size_t count, store_duty duty,
                          std::vector<network_address>& others) {
    const std::vector<member> found = SelectMembersForDuty(
        kDutyName, members, count, [&chosen](const member& each) {
          return std::find(chosen.begin(), chosen.end(), each.peer_address) !=
                 chosen.end();
        });
    for (const member& each : found) {
      chosen.push_back(each.peer_address);
      if (each.peer_address == self)
        plan.duty = duty;
      else
        others.push_back(each.peer_address);
    }
    return found.size();
  };
  choose(kReaderCount, store_duty::kReader, plan.readers);
  // Each round takes members of the largest capacity that is left.
  std::size_t missing = kStandbyCount;
  while (missing > 0) {
    const std::size_t found =
        choose(missing, store_duty::kStandby, plan.standbys);
    if (found == 0)
      break;
    missing -= found;
  }
  return plan;
}

}  // namespace papayakeel
