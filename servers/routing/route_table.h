// Finds the route of a request by its host and the longest matching path
// prefix. The cost of a lookup depends on the number of path segments, not on
// the number of routes.
#ifndef SERVERS_ROUTING_ROUTE_TABLE_H_
#define SERVERS_ROUTING_ROUTE_TABLE_H_

#include <string>
#include <string_view>
#include <unordered_map>

#include "servers/routing/desired_state.h"

namespace papayakeel {

class route_table {
 public:
  explicit route_table(desired_state_pointer state);

  // Returns the matching route, or nullptr. `host` is case-insensitive and may
  // include a port; `target` is the request target and may include a query.
  const route* Find(std::string_view host, std::string_view target) const;

  const desired_state& state() const { return *state_; }

 private:
  using prefix_map = std::unordered_map<std::string, const route*>;

  desired_state_pointer state_;  // Owns the routes in `hosts_`.
  std::unordered_map<std::string, prefix_map> hosts_;
};

}  // namespace papayakeel

#endif  // SERVERS_ROUTING_ROUTE_TABLE_H_
