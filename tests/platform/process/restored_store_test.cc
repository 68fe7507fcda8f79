// Real entry VM processes on a platform whose store comes back from an older
// copy of itself.
#include <signal.h>

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
// VMs read the store again this long after they have read a change.
constexpr milliseconds kWithinBatchDelay{150};
// The users' bound for a change, and the time in which all is written again.
constexpr seconds kInForce{2};
constexpr milliseconds kWrittenAgain{1800};

}  // namespace

TEST_GROUP(platform_restore) {
  platform_stand_in site;
  std::atomic<int> next_id{0};

  void StartVms() {
    CHECK(site.AddEntryVms(kVms));
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

  // Looks up at all VMs for `length`. Returns how many were not served.
  int FailuresDuring(time_span length) {
    int failures = 0;
    const monotonic_time end = std::chrono::steady_clock::now() + length;
    while (std::chrono::steady_clock::now() < end) {
      for (std::size_t vm = 0; vm < kVms; ++vm)
        failures += StatusOf(vm, "/look/1") == 200 ? 0 : 1;
      std::this_thread::sleep_for(milliseconds(20));
    }
    return failures;
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

// Guards against a route that is never served: the store came back and its
// revisions passed those known while VMs were between two watches, one of them
// frozen.
TEST(platform_restore, RouteAddedAfterARestoreIsServed) {
  site.PutState(3, {"/look/"});
  site.AddEndpoint(milliseconds(5));
  site.AddEndpoint(milliseconds(5));
  StartVms();
  const store_copy copy = site.CopyStore();
  site.PutState(5, {"/look/"});
  std::this_thread::sleep_for(kWithinBatchDelay);
  site.entry_vm(0).Signal(SIGSTOP);
  site.RestoreStore(copy);
  site.PutState(7, {"/look/", "/added/"});
  site.Register(0, false);
  site.Register(1, false);
  std::this_thread::sleep_for(seconds(1));
  site.entry_vm(0).Signal(SIGCONT);
  std::this_thread::sleep_for(kInForce);
  for (std::size_t vm = 0; vm < kVms; ++vm)
    LONGS_EQUAL(200, StatusOf(vm, "/added/1"));
}

// Guards against work for an endpoint that has left and that the copy lists.
TEST(platform_restore, EndpointThatLeftGetsNothing) {
  site.PutState(3, {"/look/"});
  site.AddEndpoint(milliseconds(5));
  site.AddEndpoint(milliseconds(5));
  StartVms();
  const store_copy copy = site.CopyStore();
  site.Register(0, true);
  std::this_thread::sleep_for(milliseconds(600));
  site.Unregister(0);
  std::this_thread::sleep_for(seconds(2));
  const int before = site.RunsOn(0);
  site.RestoreStore(copy);
  LONGS_EQUAL(0, FailuresDuring(kWrittenAgain));
  site.WriteAgain(1);
  LONGS_EQUAL(0, FailuresDuring(seconds(1)));
  LONGS_EQUAL(before, site.RunsOn(0));
}

// Guards against refused calls while endpoints that started after the copy was
// taken have not written again.
TEST(platform_restore, EndpointsThatTheCopyLacksServe) {
  site.PutState(3, {"/look/"});
  const store_copy copy = site.CopyStore();
  site.AddEndpoint(milliseconds(5));
  site.AddEndpoint(milliseconds(5));
  StartVms();
  site.RestoreStore(copy);
  LONGS_EQUAL(0, FailuresDuring(kWrittenAgain));
  site.WriteAgain(1);
  LONGS_EQUAL(0, FailuresDuring(seconds(2)));
}

}  // namespace papayakeel::platform
