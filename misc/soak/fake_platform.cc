// Values that readers get.
#include "misc/soak/fake_platform.h"

#include <utility>

namespace papayakeel::soak {

void fake_platform::Publish(std::string published) {
  published_.push_back(std::move(published));
  if (published_.size() > 2)
    published_.erase(published_.begin());
}

void fake_platform::SetStale(bool is_stale) {
  stale_.reset();
  if (is_stale)
    stale_ = published_.back();
}

std::optional<std::string> fake_platform::ReadConfiguration() const {
  if (is_down_)
    return std::nullopt;
  if (goes_back_)
    return published_.front();
  return stale_ ? *stale_ : published_.back();
}

void fake_platform::SetVms(std::vector<vm_record> vms) {
  latest_ = std::move(vms);
  if (!is_vm_list_stale_)
    listed_ = latest_;
}

void fake_platform::SetVmListStale(bool is_stale) {
  is_vm_list_stale_ = is_stale;
  if (!is_stale)
    listed_ = latest_;
}

}  // namespace papayakeel::soak
