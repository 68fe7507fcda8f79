// Tests of the weighted distribution of requests.
#include "servers/routing/weighted_split.h"

#include <map>
#include <memory>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

random_source MakeRandom(std::uint64_t seed) {
  auto generator = std::make_shared<std::mt19937_64>(seed);
  return [generator] { return (*generator)(); };
}

}  // namespace

TEST_GROUP(weighted_split){};

// Guards against shares that deviate from the weights, both on one entry VM and
// in total over many entry VMs that receive few requests each.
TEST(weighted_split, SharesFollowWeights) {
  route split_route;
  split_route.host = "a.example";
  split_route.prefix = "/";
  split_route.targets = {{"old", 90}, {"new", 10}};
  std::map<std::string, int> total;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    weighted_split long_split(MakeRandom(seed));
    std::map<std::string, int> counts;
    for (int index = 0; index < 200; ++index)
      ++counts[long_split.Next(split_route)];
    CHECK(counts["new"] >= 18 && counts["new"] <= 22);
    weighted_split short_split(MakeRandom(seed + 100));
    for (int index = 0; index < 15; ++index)
      ++total[short_split.Next(split_route)];
  }
  // The weighted share is 75 of 750 requests; each of the 50 short splits may
  // deviate from it by one request.
  CHECK(total["new"] >= 45 && total["new"] <= 105);
}

}  // namespace papayakeel
