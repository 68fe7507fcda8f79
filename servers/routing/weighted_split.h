// Splits the requests of a route over its target services by their weights.
// Over any run of requests the share of a target differs from its weight by
// at most one request, so the shares hold on each entry VM for itself.
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

  // Returns the service for the next request on `chosen`.
  const std::string& Next(const route& chosen);

  // Forgets all positions, after a change of the desired state.
  void Reset() { credits_.clear(); }

 private:
  random_source random_;
  // By route (host and prefix): what each target is owed, in requests. Starts
  // at random, so that entry VMs with few requests don't all favour one target.
  std::unordered_map<std::string, std::vector<double>> credits_;
};

}  // namespace papayakeel

#endif  // SERVERS_ROUTING_WEIGHTED_SPLIT_H_
