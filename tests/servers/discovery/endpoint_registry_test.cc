// Tests of the registry of endpoints.
#include "servers/discovery/endpoint_registry.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

endpoint_entry MakeEntry(const std::string& id,
                         std::uint64_t started,
                         std::uint64_t sequence) {
  endpoint_entry entry;
  entry.id = id;
  entry.service = "bokning";
  entry.address = {"10.1.0.1", 8000};
  entry.slots = 2;
  entry.started_unix_ms = started;
  entry.sequence = sequence;
  return entry;
}

}  // namespace

TEST_GROUP(endpoint_registry){};

// Guards against a delayed entry of an earlier start that replaces the entry of
// a later start: the sequence number restarts with the endpoint, and the older
// entry can have the higher one.
TEST(endpoint_registry, LaterStartWins) {
  endpoint_registry registry;
  CHECK(registry.Put(MakeEntry("i-1", 1000, 90)));
  endpoint_entry restarted = MakeEntry("i-1", 2000, 1);
  restarted.is_leaving = true;
  CHECK(registry.Put(restarted));
  CHECK_FALSE(registry.Put(MakeEntry("i-1", 1000, 91)));
  CHECK(registry.Find("i-1")->is_leaving);
}

// Guards against a scheduler that is not notified when an endpoint starts to
// leave, and against a scheduler that is notified of every report although the
// report changes nothing.
TEST(endpoint_registry, NotifiesOfChangesOnly) {
  endpoint_registry registry;
  std::vector<std::string> reported;
  registry.Subscribe(
      [&reported](const std::string& service) { reported.push_back(service); });
  registry.Put(MakeEntry("i-1", 1000, 1));
  registry.Put(MakeEntry("i-1", 1000, 2));
  LONGS_EQUAL(1, reported.size());
  endpoint_entry leaving = MakeEntry("i-1", 1000, 3);
  leaving.is_leaving = true;
  registry.Put(leaving);
  LONGS_EQUAL(2, reported.size());
  registry.RetainOnly({"i-2"});
  LONGS_EQUAL(3, reported.size());
  LONGS_EQUAL(0, registry.size());
}

// Guards against a notification for each entry of a batch, against changes that
// lookups do not see before the batch ends, and against news that stays behind
// when the batch has ended.
TEST(endpoint_registry, BatchNotifiesOncePerService) {
  endpoint_registry registry;
  std::vector<std::string> reported;
  registry.Subscribe(
      [&reported](const std::string& service) { reported.push_back(service); });
  {
    const endpoint_registry::batch outer(registry);
    for (int index = 0; index < 100; ++index) {
      const endpoint_registry::batch inner(registry);
      endpoint_entry entry = MakeEntry("i-" + std::to_string(index), 1000, 1);
      entry.service = index % 2 == 0 ? "even" : "odd";
      registry.Put(entry);
    }
    registry.MarkLeaving("i-1", 1000);
    CHECK(registry.Find("i-1")->is_leaving);
    LONGS_EQUAL(0, reported.size());
  }
  CHECK(reported == (std::vector<std::string>{"even", "odd"}));
  { const endpoint_registry::batch unchanged(registry); }
  LONGS_EQUAL(2, reported.size());
  CHECK(registry.MarkLeaving("i-2", 1000));
  LONGS_EQUAL(3, reported.size());
}

// Guards against an endpoint that gets work again after it said that it leaves,
// because its entry, or a restored store, lists it as ready.
TEST(endpoint_registry, AnnouncedLeavingHoldsForAStart) {
  endpoint_registry registry;
  registry.Put(MakeEntry("i-1", 1000, 1));
  std::vector<std::string> reported;
  registry.Subscribe(
      [&reported](const std::string& service) { reported.push_back(service); });
  CHECK(registry.MarkLeaving("i-1", 1000));
  CHECK_FALSE(registry.MarkLeaving("i-1", 1000));
  LONGS_EQUAL(1, reported.size());
  CHECK(registry.Find("i-1")->is_leaving);
  registry.Put(MakeEntry("i-1", 1000, 2));
  CHECK(registry.Find("i-1")->is_leaving);
  registry.Remove("i-1");
  registry.Put(MakeEntry("i-1", 1000, 3));
  CHECK(registry.Find("i-1")->is_leaving);
  registry.Put(MakeEntry("i-1", 2000, 1));
  CHECK_FALSE(registry.Find("i-1")->is_leaving);
  // A late answer of the earlier start.
  CHECK_FALSE(registry.HasAnnouncedLeaving("i-1", 2000));
  registry.MarkLeaving("i-1", 1000);
  CHECK_FALSE(registry.Find("i-1")->is_leaving);
}

// Guards against announcements that fill the memory: ids are new with each
// start of an endpoint.
TEST(endpoint_registry, AnnouncementsOfEndpointsThatLeftAreDropped) {
  endpoint_registry registry;
  registry.Put(MakeEntry("i-0", 1000, 1));
  for (int index = 0; index < 5000; ++index)
    registry.MarkLeaving("i-" + std::to_string(index), 1000);
  CHECK(registry.HasAnnouncedLeaving("i-0", 1000));
  CHECK(registry.HasAnnouncedLeaving("i-4999", 1000));
  int kept = 0;
  for (int index = 0; index < 5000; ++index) {
    kept += registry.HasAnnouncedLeaving("i-" + std::to_string(index), 1000)
                ? 1
                : 0;
  }
  CHECK(kept < 2000);
}

// Guards against requests for an endpoint that has moved to an evacuated zone.
TEST(endpoint_registry, ZoneChangesAreNotified) {
  endpoint_registry registry;
  int notifications = 0;
  registry.Subscribe([&](const std::string&) { ++notifications; });
  endpoint_entry entry = MakeEntry("i-1", 1, 1);
  registry.Put(entry);
  entry.sequence = 2;
  registry.Put(entry);
  LONGS_EQUAL(1, notifications);
  entry.sequence = 3;
  entry.availability_zone = "b";
  registry.Put(entry);
  LONGS_EQUAL(2, notifications);
}

// Guards against owners that do not learn that an endpoint has become cold, and
// against a cold period that begins anew with each listing or refresh.
TEST(endpoint_registry, ColdPeriodsAreNotifiedAndEnd) {
  const monotonic_time now{std::chrono::seconds(100)};
  endpoint_registry registry;
  int notifications = 0;
  registry.Subscribe([&](const std::string&) { ++notifications; });
  endpoint_entry entry = MakeEntry("i-1", 1, 1);
  CHECK(registry.Put(entry));
  LONGS_EQUAL(1, notifications);
  // Cold again.
  entry.sequence = 2;
  entry.warm_up_ends_at = now + std::chrono::seconds(3);
  registry.Put(entry);
  LONGS_EQUAL(2, notifications);
  // The same report, listed again a second later.
  entry.warm_up_ends_at += std::chrono::seconds(1);
  registry.Put(entry);
  LONGS_EQUAL(2, notifications);
  CHECK(registry.Find("i-1")->warm_up_ends_at == now + std::chrono::seconds(3));
  // A refresh within the period, delayed by a few ms.
  entry.sequence = 3;
  entry.warm_up_ends_at = now + std::chrono::milliseconds(3050);
  registry.Put(entry);
  LONGS_EQUAL(2, notifications);
  // Warm, and cold again.
  entry.sequence = 4;
  entry.warm_up_ends_at = {};
  registry.Put(entry);
  entry.sequence = 5;
  entry.warm_up_ends_at = now + std::chrono::seconds(9);
  registry.Put(entry);
  LONGS_EQUAL(4, notifications);
}

}  // namespace papayakeel
