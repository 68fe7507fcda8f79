// Rendezvous hashing over xxHash.
#include "core/rendezvous_hash.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace papayakeel {

std::uint64_t RendezvousWeight(std::string_view key,
                               std::string_view candidate) {
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  return XXH64(candidate.data(), candidate.size(), seed);
}

std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> candidates) {
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  weighted.reserve(candidates.size());
  for (std::string& candidate : candidates) {
    const std::uint64_t weight = RendezvousWeight(key, candidate);
    weighted.emplace_back(weight, std::move(candidate));
  }
  std::sort(weighted.begin(), weighted.end(),
            [](const auto& left, const auto& right) {
              return left.first != right.first ? left.first > right.first
                                               : left.second < right.second;
            });
  std::vector<std::string> ordered;
  ordered.reserve(weighted.size());
  for (std::pair<std::uint64_t, std::string>& each : weighted)
    ordered.push_back(std::move(each.second));
  return ordered;
}

}  // namespace papayakeel
