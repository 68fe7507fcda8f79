// Real entry VM processes on a platform whose store comes back from an older
// copy of itself.
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

constexpr std::size_t kVms = 2;
// The users' bound for a change.
constexpr seconds kInForce{2};

}  // namespace

TEST_GROUP(platform_restore) {
  platform_stand_in site;
  std::atomic<int> next_id{0};

  void StartVms() {
    for (std::size_t vm = 0; vm < kVms; ++vm)
      site.AddEntryVm();
    CHECK(WaitUntil([&] {
      for (std::size_t vm = 0; vm < kVms; ++vm) {
        if (!site.IsReady(vm) || site.AddressesFrom(vm).size() != kVms)
          return false;
      }
      return true;
    }));
    // New processes watch the store once they know the others.
    std::this_thread::sleep_for(seconds(1));
  }

  int StatusOf(std::size_t vm, const std::string& target) {
    const std::optional<http_response> answer =
        Send(site.CallersOf(vm), http::verb::get, target,
             {{"Host", "a.example"},
              {"Papayakeel-Request-Id", "r" + std::to_string(next_id++)},
              {"Papayakeel-Deadline-Ms", "4000"}},
             "");
    return answer ? static_cast<int>(answer->result_int()) : 0;
  }
};

// Guards against a process that keeps the copy's content: it starts after the
// restore and before all is written again.
TEST(platform_restore, ProcessStartedAfterARestoreReadsWhatIsWrittenAgain) {
  site.PutState(3, {"/look/"});
  site.AddEndpoint(milliseconds(5));
  StartVms();
  const store_copy copy = site.CopyStore();
  site.PutState(5, {"/look/", "/added/"});
  site.AddEndpoint(milliseconds(5));
  std::this_thread::sleep_for(seconds(1));
  site.entry_vm(0).Kill();
  site.RestoreStore(copy);
  site.RestartEntryVm(0);
  CHECK(WaitUntil([&] { return site.IsReady(0); }));
  site.WriteAgain(2);
  std::this_thread::sleep_for(kInForce);
  for (std::size_t vm = 0; vm < kVms; ++vm)
    LONGS_EQUAL(200, StatusOf(vm, "/added/1"));
}

}  // namespace papayakeel::platform
