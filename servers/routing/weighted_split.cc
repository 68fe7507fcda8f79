// Smooth weighted round robin over the targets of a route.
#include "servers/routing/weighted_split.h"

#include <algorithm>
#include <utility>

namespace papayakeel {

weighted_split::weighted_split(random_source random)
    : random_(std::move(random)) {}

const std::string& weighted_split::Next(const route& chosen) {
  if (chosen.targets.size() == 1)
    return chosen.targets.front().service;
  double total = 0;
  for (const route_target& each : chosen.targets)
    total += each.weight;
  std::vector<double>& route_credits = credits_[chosen.host + chosen.prefix];
  if (route_credits.size() != chosen.targets.size()) {
    route_credits.clear();
    double sum = 0;
    for (std::size_t index = 0; index < chosen.targets.size(); ++index) {
      route_credits.push_back(UniformUnit(random_));
      sum += route_credits.back();
    }
    for (double& each : route_credits)
      each -= sum / static_cast<double>(route_credits.size());
  }
  for (std::size_t index = 0; index < route_credits.size(); ++index)
    route_credits[index] += chosen.targets[index].weight / total;
  const auto largest =
      std::max_element(route_credits.begin(), route_credits.end());
  *largest -= 1;
  return chosen
      .targets[static_cast<std::size_t>(largest - route_credits.begin())]
      .service;
}

}  // namespace papayakeel
