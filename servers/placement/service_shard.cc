// Splitting of a service's endpoints among owners.
#include "servers/placement/service_shard.h"

#include "core/rendezvous_hash.h"

namespace papayakeel {

namespace {

// Endpoints of one shard at most. A decision looks at all of them; with 260,
// an owner with half a core fell behind at 700 requests a second. Pooling
// gains little beyond a few dozen endpoints.
constexpr std::size_t kMostEndpoints = 96;

constexpr std::string_view kShardKey = "shard";

}  // namespace

std::string service_shard::Name() const {
  if (count == 1)
    return service;
  return service + "#" + std::to_string(index) + "/" + std::to_string(count);
}

std::uint32_t ShardCount(std::size_t endpoints) {
  std::uint32_t count = 1;
  while (count * kMostEndpoints < endpoints)
    count *= 2;
  return count;
}

std::uint32_t ShardOf(std::string_view endpoint_id, std::uint32_t count) {
  return static_cast<std::uint32_t>(RendezvousWeight(kShardKey, endpoint_id) %
                                    count);
}

}  // namespace papayakeel
