// Local view of the fleet: VMs from the platform's list and entry VMs from
// gossip. Other services read the view and subscribe to its changes.
#ifndef SERVERS_MEMBERSHIP_ENTRY_DIRECTORY_H_
#define SERVERS_MEMBERSHIP_ENTRY_DIRECTORY_H_

#include <functional>
#include <string_view>
#include <vector>

#include "core/service.h"
#include "servers/membership/member.h"
#include "servers/membership/vm_record.h"

namespace papayakeel {

class entry_directory : public service {
 public:
  static constexpr std::string_view kName = "entry_directory";

  // `members` always includes `self`.
  explicit entry_directory(member self);

  std::string_view name() const override { return kName; }
  nlohmann::json DumpState() const override;

  const member& self() const { return self_; }

  // Every known entry VM that is not dead, including this one. If the
  // platform's list marks a member as leaving, its state here is leaving.
  const std::vector<member>& members() const { return members_; }
  const std::vector<vm_record>& vms() const { return vms_; }

  // Caller addresses of the entry VMs that callers may use. Excludes entry VMs
  // that are dead, or leaving according to gossip or the platform's list.
  std::vector<network_address> UsableEntryVms() const;

  // Whether the platform's list marks an entry VM with the same caller address
  // or peer address as leaving.
  bool IsListedAsLeaving(const member& entry_vm) const;

  // Each of these updates the view and then notifies the listeners.
  void SetMembers(std::vector<member> others);
  void SetVms(std::vector<vm_record> vms);
  void UpdateSelf(const std::function<void(member&)>& change);

  void Subscribe(std::function<void()> listener);

 private:
  void Notify();

  member self_;
  std::vector<member> others_;
  std::vector<member> members_;  // `self_` followed by `others_`.
  std::vector<vm_record> vms_;
  std::vector<std::function<void()>> listeners_;
};

}  // namespace papayakeel

#endif  // SERVERS_MEMBERSHIP_ENTRY_DIRECTORY_H_
