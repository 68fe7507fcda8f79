// Real entry VM processes whose operator evacuates zones under load.
#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/process/platform_stand_in.h"
#include "tests/process/support/test_client.h"
#include "tests/process/support/test_fleet.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 3;
constexpr std::size_t kEndpointsPerZone = 3;
constexpr int kCallersPerVm = 3;
constexpr milliseconds kWork{30};
// From this time after its acknowledgement an evacuation holds.
constexpr seconds kBound{5};
const std::vector<std::string> kZones = {"a", "b", "c"};

monotonic_time Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

TEST_GROUP(platform_evacuation) {
  platform_stand_in site;
  std::atomic<int> next_id{0};
  std::atomic<bool> is_over{false};
  std::atomic<int> refused{0};
  std::atomic<int> served{0};
  std::vector<std::thread> callers;

  void setup() override {
    site.PutState(3, {"/look/"});
    for (const std::string& zone : kZones) {
      for (std::size_t index = 0; index < kEndpointsPerZone; ++index)
        site.AddEndpoint(kWork, zone);
    }
    CHECK(site.AddEntryVms(kVms));
  }

  void teardown() override {
    is_over = true;
    for (std::thread& each : callers)
      each.join();
  }

  std::optional<http_response> Call(std::size_t vm, http::verb method,
                                    const std::string& target) {
    return Send(site.CallersOf(vm), method, target,
                {{"Host", "a.example"},
                 {"Papayakeel-Request-Id", "r" + std::to_string(next_id++)},
                 {"Papayakeel-Deadline-Ms", "4000"}},
                method == http::verb::post ? "order" : "");
  }

  // Starts callers of a VM, each with one request at a time.
  void StartCallers(std::size_t vm) {
    for (int number = 0; number < kCallersPerVm; ++number) {
      callers.emplace_back([this, vm, number] {
        while (!is_over) {
          const std::optional<http_response> answer =
              number == 0 ? Call(vm, http::verb::post, "/book/x")
                          : Call(vm, http::verb::get, "/look/x");
          if (answer && answer->result() == http::status::ok) {
            ++served;
          } else {
            ++refused;
            std::this_thread::sleep_for(milliseconds(20));
          }
        }
      });
    }
  }

  monotonic_time Evacuate(std::size_t zone) {
    site.Evacuate(kZones[zone]);
    return Now();
  }

  // Requests and status checks that reached the zone between two times.
  long ArrivalsIn(std::size_t zone, monotonic_time from, monotonic_time to) {
    long arrivals = 0;
    for (std::size_t each = zone * kEndpointsPerZone;
         each < (zone + 1) * kEndpointsPerZone; ++each) {
      for (const std::vector<monotonic_time>& times :
           {site.ArrivalTimesOn(each), site.StatusCheckTimesOn(each)}) {
        arrivals += std::count_if(
            times.begin(), times.end(),
            [&](monotonic_time at) { return at >= from && at < to; });
      }
    }
    return arrivals;
  }

  // The VM that owns the service, as far as the logs tell.
  std::size_t Owner() {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      if (site.LogOf(vm).find("event=slot_granted") != std::string::npos)
        return vm;
    }
    return 0;
  }
};

// Guards against requests and status checks for an evacuated zone: from VMs
// that read of it, from an owner that follows a killed one, from a VM that
// joins, when zones are named one after the other, and when all are.
TEST(platform_evacuation, NothingIsSentToEvacuatedZones) {
  for (std::size_t vm = 0; vm < kVms; ++vm)
    StartCallers(vm);
  std::this_thread::sleep_for(seconds(1));
  for (std::size_t zone = 0; zone < kZones.size(); ++zone)
    CHECK(ArrivalsIn(zone, monotonic_time(), Now()) > 0);

  const monotonic_time first = Evacuate(0);
  std::this_thread::sleep_for(milliseconds(1500));
  const std::size_t owner = Owner();
  site.entry_vm(owner).Kill();
  std::this_thread::sleep_for(milliseconds(500));
  const std::size_t joined = site.AddEntryVm();
  CHECK(WaitUntil([&] { return site.IsReady(joined); }));
  StartCallers(joined);
  std::this_thread::sleep_until(first + kBound);
  const int served_before = served;
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(served > served_before);

  const monotonic_time second = Evacuate(1);
  std::this_thread::sleep_until(second + kBound);
  const int served_by_one_zone = served;
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(served > served_by_one_zone);

  const monotonic_time third = Evacuate(2);
  std::this_thread::sleep_until(third + kBound);
  const std::size_t other = owner == 0 ? 1 : 0;
  for (const http::verb method : {http::verb::get, http::verb::post}) {
    const monotonic_time sent = Now();
    const std::optional<http_response> refusal =
        Call(other, method, method == http::verb::get ? "/look/y" : "/book/y");
    CHECK(refusal.has_value());
    LONGS_EQUAL(503, refusal->result_int());
    CHECK(!(*refusal)["Retry-After"].empty());
    CHECK(Now() - sent < seconds(1));
  }
  CHECK(site.MetricsOf(other).find("papayakeel_evacuated_zones 3") !=
        std::string::npos);
  std::this_thread::sleep_for(milliseconds(500));

  const monotonic_time revoked = Now();
  LONGS_EQUAL(0, ArrivalsIn(0, first + kBound, revoked));
  LONGS_EQUAL(0, ArrivalsIn(1, second + kBound, revoked));
  LONGS_EQUAL(0, ArrivalsIn(2, third + kBound, revoked));
  // Callers press, so that the work needs every endpoint.
  for (int count = 0; count < 2; ++count) {
    StartCallers(other);
    StartCallers(joined);
  }
  for (const std::string& zone : kZones)
    site.RevokeEvacuation(zone);
  CHECK(WaitUntil([&] {
    return ArrivalsIn(0, revoked, Now()) > 0 &&
           ArrivalsIn(1, revoked, Now()) > 0 &&
           ArrivalsIn(2, revoked, Now()) > 0;
  }));
  CHECK(Now() - revoked < milliseconds(2500));
}

}  // namespace papayakeel::platform
