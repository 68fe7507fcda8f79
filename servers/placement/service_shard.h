// Subset of the endpoints of a service that has its own owner. A large service
// is split into shards because its owner examines all endpoints of a shard for
// each request.
#ifndef SERVERS_PLACEMENT_SERVICE_SHARD_H_
#define SERVERS_PLACEMENT_SERVICE_SHARD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace papayakeel {

struct service_shard {
  std::string service;
  std::uint32_t index = 0;  // Below `count`.
  std::uint32_t count = 1;  // A power of two.

  // Returns the name of the shard in logs and of the duty to own it.
  std::string Name() const;

  friend bool operator<(const service_shard& left, const service_shard& right) {
    return std::tie(left.service, left.count, left.index) <
           std::tie(right.service, right.count, right.index);
  }
  friend bool operator==(const service_shard& left,
                         const service_shard& right) {
    return std::tie(left.service, left.count, left.index) ==
           std::tie(right.service, right.count, right.index);
  }
};

// Returns the number of shards for a service with this many endpoints.
std::uint32_t ShardCount(std::size_t endpoints);

// Returns the index of the shard that contains an endpoint. All VMs compute the
// same index.
std::uint32_t ShardOf(std::string_view endpoint_id, std::uint32_t count);

}  // namespace papayakeel

#endif  // SERVERS_PLACEMENT_SERVICE_SHARD_H_
