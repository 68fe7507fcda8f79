// Tests of the set of evacuated zones.
#include "servers/discovery/evacuated_zones.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

TEST_GROUP(evacuated_zones) {
  evacuated_zones zones;
  int changes = 0;

  void setup() override {
    zones.Subscribe([this] { ++changes; });
  }
};

// Guards against a second evacuation that replaces the first.
TEST(evacuated_zones, ZonesNamedOneAfterTheOtherAreAllEvacuated) {
  CHECK(zones.Add("a"));
  CHECK(zones.Add("b"));
  CHECK_FALSE(zones.Add("b"));
  CHECK(zones.Contains("a") && zones.Contains("b"));
  CHECK(zones.Remove("a"));
  CHECK_FALSE(zones.Remove("a"));
  CHECK(!zones.Contains("a") && zones.Contains("b"));
  LONGS_EQUAL(3, changes);
}

// Guards against an evacuation that outlives its key, and against one that a
// restored store's older copy revokes before it is written again.
TEST(evacuated_zones, UnlistedZonesAreRemovedAtOnceOrMarked) {
  for (const char* zone : {"a", "b", "c"})
    zones.Add(zone);
  LONGS_EQUAL(1, zones.RetainOnly({"a", "b"}, false).size());
  CHECK_FALSE(zones.Contains("c"));
  CHECK(zones.RetainOnly({}, true).empty());
  CHECK(zones.Contains("a") && zones.Contains("b") && zones.HasMissing());
  zones.Add("a");
  const std::vector<std::string> removed = zones.RemoveMissing();
  LONGS_EQUAL(1, removed.size());
  STRCMP_EQUAL("b", removed[0].c_str());
  CHECK(zones.Contains("a") && !zones.HasMissing());
  LONGS_EQUAL(5, changes);
}

}  // namespace papayakeel
