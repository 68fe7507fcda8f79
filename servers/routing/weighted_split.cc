// Smooth weighted round robin.
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
  std::vector<double>& credits = credits_[chosen.host + chosen.prefix];
  if (credits.size() != chosen.targets.size()) {
    credits.clear();
    double sum = 0;
    for (std::size_t index = 0; index < chosen.targets.size(); ++index) {
      credits.push_back(UniformUnit(random_));
      sum += credits.back();
    }
    for (double& each : credits)
      each -= sum / static_cast<double>(credits.size());
  }
  for (std::size_t index = 0; index < credits.size(); ++index)
    credits[index] += chosen.targets[index].weight / total;
  const auto largest = std::max_element(credits.begin(), credits.end());
  *largest -= 1;
  return chosen.targets[static_cast<std::size_t>(largest - credits.begin())]
      .service;
}

}  // namespace papayakeel
