// Distributes the requests of a route over its target services by smooth
// weighted round robin. In any sequence of requests, the number sent to a
// target differs from its weighted share by at most one, so each entry VM
// follows the weights without coordination.
#ifndef SERVERS_ROUTING_WEIGHTED_SPLIT_H_
#define SERVERS_ROUTING_WEIGHTED_SPLIT_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "core/random_source.h"
#include "servers/routing/desired_state.h"

namespace papayakeel {

class weighted_split {
 public:
  explicit weighted_split(random_source random);

  // Returns the target service for the next request on the route `chosen`.
  const std::string& Next(const route& chosen);

  // Discards all credits. Call after a change of the desired state.
  void Reset() { credits_.clear(); }

 private:
  random_source random_;
  // Credit of each target in requests, keyed by host and prefix of the route.
  // Initial credits are random because entry VMs with few requests would
  // otherwise all prefer the same target.
  std::unordered_map<std::string, std::vector<double>> credits_;
};

}  // namespace papayakeel

#endif  // SERVERS_ROUTING_WEIGHTED_SPLIT_H_
