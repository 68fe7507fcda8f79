// Tests that ends of processes that nobody asked for are told from others.
#include "tests/process/support/child_process.h"

#include <signal.h>

#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLimit{10};

// Runs the shell's `script` until it ends, and returns the number of ends that
// nobody asked for.
std::size_t EndsUnasked(const std::string& script,
                        const std::vector<int>& signals) {
  {
    child_process process({"/bin/sh", "-c", script}, "/dev/null");
    for (const int signal_number : signals) {
      // The script sets its traps first.
      std::this_thread::sleep_for(milliseconds(200));
      process.Signal(signal_number);
    }
    if (signals.empty())
      CHECK(process.Wait(kLimit).has_value());
  }
  return child_process::TakeUnrequestedEnds().size();
}

}  // namespace

TEST_GROUP(child_process){};

// Guards against a run that passes although a process crashed, also one that
// crashed in its grace period.
TEST(child_process, RecordsEndsThatNobodyAskedFor) {
  const std::string forever = "while :; do sleep 0.02; done";
  LONGS_EQUAL(1, EndsUnasked("kill -SEGV $$", {}));
  LONGS_EQUAL(1, EndsUnasked("exit 0", {}));
  LONGS_EQUAL(1, EndsUnasked("exit 3", {}));
  LONGS_EQUAL(1, EndsUnasked("trap 'kill -SEGV $$' TERM; " + forever,
                             {SIGTERM, SIGCONT}));
  LONGS_EQUAL(
      1, EndsUnasked("trap 'exit 99' TERM; " + forever, {SIGTERM, SIGCONT}));
}

TEST(child_process, PassesOverEndsThatWereAskedFor) {
  const std::string forever = "while :; do sleep 0.02; done";
  LONGS_EQUAL(0, EndsUnasked(forever, {SIGTERM}));
  LONGS_EQUAL(0, EndsUnasked(forever, {SIGKILL}));
  LONGS_EQUAL(0, EndsUnasked(forever, {SIGSTOP}));
  LONGS_EQUAL(
      0, EndsUnasked("trap 'exit 1' TERM; " + forever, {SIGTERM, SIGCONT}));
}

}  // namespace papayakeel
