// The desired state in force in this process. Versions only rise.
#ifndef SERVERS_ROUTING_STATE_BOARD_H_
#define SERVERS_ROUTING_STATE_BOARD_H_

#include <functional>
#include <memory>
#include <vector>

#include "core/service.h"
#include "servers/routing/route_table.h"

namespace papayakeel {

class state_board : public service {
 public:
  static constexpr std::string_view kName = "state_board";

  std::string_view name() const override { return kName; }
  nlohmann::json DumpState() const override;

  // Puts a newer version in force. Returns false for an older or equal one.
  bool Offer(const desired_state_pointer& offered);

  // The routes in force, or nullptr while no desired state is known.
  std::shared_ptr<const route_table> routes() const { return routes_; }

  void Subscribe(std::function<void()> listener) {
    listeners_.push_back(std::move(listener));
  }

 private:
  std::shared_ptr<const route_table> routes_;
  std::vector<std::function<void()>> listeners_;
};

}  // namespace papayakeel

#endif  // SERVERS_ROUTING_STATE_BOARD_H_
