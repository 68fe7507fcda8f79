// Replacement of the desired state by newer versions.
#include "servers/routing/desired_state_store.h"

namespace papayakeel {

bool desired_state_store::ApplyIfNewer(const desired_state_pointer& offered) {
  if (routes_ && offered->version <= routes_->state().version)
    return false;
  routes_ = std::make_shared<const route_table>(offered);
  for (const std::function<void()>& listener : listeners_)
    listener();
  return true;
}

nlohmann::json desired_state_store::DumpState() const {
  if (!routes_)
    return {{"known", false}};
  return {{"known", true},
          {"version", routes_->state().version},
          {"routes", routes_->state().routes.size()},
          {"services", routes_->state().services.size()}};
}

}  // namespace papayakeel
