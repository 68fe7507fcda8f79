// Real entry VM processes, and a zone of cold endpoints that returns under
// load.
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
constexpr std::size_t kWarmEndpoints = 2;
constexpr std::size_t kColdEndpoints = 3;
constexpr int kCallersPerVm = 6;
constexpr double kRate = 3.7;
constexpr seconds kColdTime{5};

// Returns the largest number of `times` in any second.
std::size_t MostInASecond(const std::vector<monotonic_time>& times) {
  std::size_t most = 0;
  for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= seconds(1))
      ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

}  // namespace

TEST_GROUP(platform_cold_zone) {
  platform_stand_in site;
  std::atomic<int> next_id{0};
  std::atomic<bool> is_over{false};
  std::vector<std::thread> callers;

  void setup() override {
    site.SetWarmUpRate(kRate);
    site.PutState(3, {"/look/"});
    for (std::size_t index = 0; index < kWarmEndpoints; ++index)
      site.AddEndpoint(milliseconds(30), "a");
    for (std::size_t index = 0; index < kColdEndpoints; ++index)
      site.AddEndpoint(milliseconds(30), "b");
    CHECK(site.AddEntryVms(kVms));
  }

  void teardown() override {
    is_over = true;
    for (std::thread& each : callers)
      each.join();
  }

  void StartCallers() {
    for (std::size_t number = 0; number < kVms * kCallersPerVm; ++number) {
      callers.emplace_back([this, vm = number % kVms] {
        while (!is_over) {
          const std::optional<http_response> answer =
              Send(site.CallersOf(vm), http::verb::get, "/look/x",
                   {{"Host", "a.example"},
                    {"Papayakeel-Request-Id", "r" + std::to_string(next_id++)},
                    {"Papayakeel-Deadline-Ms", "1500"}},
                   "");
          if (!answer || answer->result() != http::status::ok)
            std::this_thread::sleep_for(milliseconds(20));
        }
      });
    }
  }

  std::size_t Owner() {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      if (site.LogOf(vm).find("event=slot_granted") != std::string::npos)
        return vm;
    }
    return 0;
  }

  // Requests that reached the endpoint from `from` until `to`.
  std::vector<monotonic_time> Arrivals(std::size_t endpoint,
                                       monotonic_time from, monotonic_time to) {
    std::vector<monotonic_time> times;
    for (const monotonic_time at : site.ArrivalTimesOn(endpoint)) {
      if (at >= from && at < to)
        times.push_back(at);
    }
    return times;
  }
};

// Guards against endpoints that fail because their zone returned while they
// were cold, also when the owner changes meanwhile, and against a limit that
// stays when they are warm.
TEST(platform_cold_zone, ReturnsUnderLoad) {
  site.Evacuate("b");
  StartCallers();
  std::this_thread::sleep_for(seconds(3));
  for (std::size_t each = kWarmEndpoints;
       each < kWarmEndpoints + kColdEndpoints; ++each) {
    site.MakeCold(each, kColdTime, true);
  }
  const monotonic_time cold_at = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(seconds(1));
  site.RevokeEvacuation("b");
  std::this_thread::sleep_for(milliseconds(1500));
  site.entry_vm(Owner()).Kill();
  std::this_thread::sleep_until(cold_at + kColdTime + seconds(2));
  const monotonic_time warm_at = cold_at + kColdTime;
  for (std::size_t each = kWarmEndpoints;
       each < kWarmEndpoints + kColdEndpoints; ++each) {
    const std::vector<monotonic_time> cold = Arrivals(each, cold_at, warm_at);
    CHECK(!cold.empty());
    CHECK(static_cast<double>(MostInASecond(cold)) <= kRate * 1.5 + 8);
    // A limit that stays would allow 15.
    CHECK(Arrivals(each, warm_at, warm_at + seconds(2)).size() > 15);
  }
}

}  // namespace papayakeel::platform
