// Holds the active desired state of this process and notifies listeners about
// new versions. Older versions never replace newer ones.
#ifndef SERVERS_ROUTING_DESIRED_STATE_STORE_H_
#define SERVERS_ROUTING_DESIRED_STATE_STORE_H_

#include <functional>
#include <memory>
#include <vector>

#include "core/service.h"
#include "servers/routing/route_table.h"

namespace papayakeel {

class desired_state_store : public service {
 public:
  static constexpr std::string_view kName = "state_board";

  std::string_view name() const override { return kName; }
  nlohmann::json DumpState() const override;

  // Activates `offered` and notifies the listeners if its version is newer than
  // the active version. Otherwise returns false.
  bool ApplyIfNewer(const desired_state_pointer& offered);

  // Returns the active routes, or nullptr before the first desired state.
  std::shared_ptr<const route_table> routes() const { return routes_; }

  void Subscribe(std::function<void()> listener) {
    listeners_.push_back(std::move(listener));
  }

 private:
  std::shared_ptr<const route_table> routes_;
  std::vector<std::function<void()>> listeners_;
};

}  // namespace papayakeel

#endif  // SERVERS_ROUTING_DESIRED_STATE_STORE_H_
