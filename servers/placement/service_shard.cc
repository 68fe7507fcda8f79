// Assignment of the endpoints of a service to shards.
#include "servers/placement/service_shard.h"

#include "core/rendezvous_hash.h"

namespace papayakeel {

namespace {

// Each scheduling decision examines all endpoints of a shard. With 260
// endpoints, an owner with half a core was overloaded at 700 requests per
// second. Pooling gains little beyond a few dozen endpoints.
constexpr std::size_t kMaxEndpointsPerShard = 96;

constexpr std::string_view kShardKey = "shard";

}  // namespace

std::string service_shard::Name() const {
  if (count == 1)
    return service;
  return service + "#" + std::to_string(index) + "/" + std::to_string(count);
}

std::uint32_t ShardCount(std::size_t endpoints) {
  std::uint32_t count = 1;
  while (count * kMaxEndpointsPerShard < endpoints)
    count *= 2;
  return count;
}

std::uint32_t ShardOf(std::string_view endpoint_id, std::uint32_t count) {
  return static_cast<std::uint32_t>(RendezvousWeight(kShardKey, endpoint_id) %
                                    count);
}

}  // namespace papayakeel
