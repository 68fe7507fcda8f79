// Finds the route of a request: by host, then by the longest prefix of the
// path. The cost of a lookup depends on the depth of the path, not on the
// number of routes.
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

  // Returns the route for a request, or nullptr. `host` may have a port and
  // any letter case; `target` is the request target with its query.
  const route* Find(std::string_view host, std::string_view target) const;

  const desired_state& state() const { return *state_; }

 private:
  using prefix_map = std::unordered_map<std::string, const route*>;

  desired_state_pointer state_;  // Owns the routes that the maps point to.
  std::unordered_map<std::string, prefix_map> hosts_;
};

}  // namespace papayakeel

#endif  // SERVERS_ROUTING_ROUTE_TABLE_H_
