// The configuration service and the VM list, with their faults.
#ifndef MISC_SOAK_FAKE_PLATFORM_H_
#define MISC_SOAK_FAKE_PLATFORM_H_

#include <optional>
#include <string>
#include <vector>

#include "servers/membership/vm_record.h"

namespace papayakeel::soak {

class fake_platform {
 public:
  // Operators publish a bundle; a conflicting one of the same version may
  // follow and replaces it.
  void Publish(std::string published);

  void set_is_down(bool is_down) { is_down_ = is_down; }
  // While stale, readers get the value of the beginning.
  void SetStale(bool is_stale);
  // While going back, readers get the value before the latest.
  void set_goes_back(bool goes_back) { goes_back_ = goes_back; }
  bool IsHealthy() const { return !is_down_ && !stale_ && !goes_back_; }

  // Nothing while down.
  std::optional<std::string> ReadConfiguration() const;

  // The list that readers get; it lags behind the machines.
  void SetVms(std::vector<vm_record> vms);
  void SetVmListStale(bool is_stale);
  bool is_vm_list_stale() const { return is_vm_list_stale_; }
  const std::vector<vm_record>& vms() const { return listed_; }

 private:
  std::vector<std::string> published_;  // Oldest first; the last two are kept.
  bool is_down_ = false;
  bool goes_back_ = false;
  std::optional<std::string> stale_;
  bool is_vm_list_stale_ = false;
  std::vector<vm_record> latest_;
  std::vector<vm_record> listed_;
};

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_FAKE_PLATFORM_H_
