// One part of a service's endpoints that has its own owner. A large service is
// split so that no owner decides for more endpoints than it can look through
// for each request.
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

  // Names the duty of its owner, and the shard in logs.
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

// Returns into how many shards a service with this many endpoints is split.
std::uint32_t ShardCount(std::size_t endpoints);

// Returns the shard that an endpoint belongs to. Equal on all VMs.
std::uint32_t ShardOf(std::string_view endpoint_id, std::uint32_t count);

}  // namespace papayakeel

#endif  // SERVERS_PLACEMENT_SERVICE_SHARD_H_
