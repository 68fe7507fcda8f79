// Tests of the assignment of endpoints to shards.
#include "servers/placement/service_shard.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

TEST_GROUP(service_shard){};

// Guards against an owner that examines hundreds of endpoints per request, and
// against splitting small services, which one owner serves better.
TEST(service_shard, SplitsOnlyLargeServices) {
  LONGS_EQUAL(1, ShardCount(0));
  LONGS_EQUAL(1, ShardCount(19));
  LONGS_EQUAL(1, ShardCount(96));
  LONGS_EQUAL(2, ShardCount(97));
  LONGS_EQUAL(4, ShardCount(229));
  LONGS_EQUAL(64, ShardCount(3900));
}

// Guards against endpoints without a shard, and against shards so unequal that
// one is full while others are idle.
TEST(service_shard, EveryEndpointHasOneShardOfSimilarSize) {
  std::vector<int> sizes(4, 0);
  for (int number = 0; number < 260; ++number)
    ++sizes.at(ShardOf("i-" + std::to_string(number * 7919), 4));
  CHECK(*std::min_element(sizes.begin(), sizes.end()) > 40);
  CHECK(*std::max_element(sizes.begin(), sizes.end()) < 96);
}

// Guards against two shards with the same name, which would be owned and
// scheduled as one.
TEST(service_shard, NamesDiffer) {
  CHECK((service_shard{"bokning", 0, 2}.Name()) !=
        (service_shard{"bokning", 0, 4}.Name()));
  CHECK((service_shard{"bokning", 0, 2}.Name()) !=
        (service_shard{"bokning", 1, 2}.Name()));
  STRCMP_EQUAL("bokning", (service_shard{"bokning", 0, 1}.Name().c_str()));
}

}  // namespace papayakeel
