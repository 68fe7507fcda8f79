// Combines gossip membership with the platform's VM list.
#include "servers/membership/entry_directory.h"

#include <algorithm>
#include <utility>

namespace papayakeel {

entry_directory::entry_directory(member self) : self_(std::move(self)) {
  members_ = {self_};
}

nlohmann::json entry_directory::DumpState() const {
  nlohmann::json members = nlohmann::json::array();
  for (const member& each : members_) {
    members.push_back({{"peer_address", each.peer_address.ToString()},
                       {"caller_address", each.caller_address.ToString()},
                       {"availability_zone", each.availability_zone},
                       {"incarnation", each.incarnation},
                       {"counter", each.counter},
                       {"state", ToString(each.state)},
                       {"epoch", each.epoch},
                       {"bundle_version", each.bundle_version},
                       {"bundle_hash", each.bundle_hash}});
  }
  return {{"members", members}, {"vms", vms_.size()}};
}

std::vector<network_address> entry_directory::UsableEntryVms() const {
  std::vector<network_address> usable;
  for (const member& each : members_) {
    const bool is_unusable = each.state == member_state::kDead ||
                             each.state == member_state::kLeaving;
    if (!is_unusable)
      usable.push_back(each.caller_address);
  }
  return usable;
}

bool entry_directory::IsListedAsLeaving(const member& entry_vm) const {
  return std::any_of(vms_.begin(), vms_.end(),
                     [&entry_vm](const vm_record& vm) {
                       return vm.role == vm_role::kEntry && vm.is_leaving &&
                              (vm.address == entry_vm.caller_address ||
                               vm.peer_address == entry_vm.peer_address);
                     });
}

void entry_directory::SetMembers(std::vector<member> others) {
  others_ = std::move(others);
  Notify();
}

void entry_directory::SetVms(std::vector<vm_record> vms) {
  vms_ = std::move(vms);
  Notify();
}

void entry_directory::UpdateSelf(const std::function<void(member&)>& change) {
  change(self_);
  Notify();
}

void entry_directory::Subscribe(std::function<void()> listener) {
  listeners_.push_back(std::move(listener));
}

void entry_directory::Notify() {
  members_ = {self_};
  members_.insert(members_.end(), others_.begin(), others_.end());
  for (member& each : members_) {
    if (each.state != member_state::kDead && IsListedAsLeaving(each))
      each.state = member_state::kLeaving;
  }
  for (const std::function<void()>& listener : listeners_)
    listener();
}

}  // namespace papayakeel
