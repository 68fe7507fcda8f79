// Checks the invariants I1 to I7 of the design against what servers, callers
// and the network of the run record; an entry VM's word decides nothing.
#ifndef MISC_SOAK_JUDGE_H_
#define MISC_SOAK_JUDGE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/monotonic_time.h"
#include "misc/soak/scheduler.h"
#include "misc/soak/wire.h"

namespace papayakeel::soak {

struct violation {
  int invariant = 0;  // 1 to 7.
  std::string detail;
};

class judge {
 public:
  static constexpr int kInvariants = 7;

  explicit judge(const scheduler& time) : time_(time) {}

  // Of the first broken invariant.
  const std::optional<violation>& broken() const { return broken_; }
  std::uint64_t checks(int invariant) const { return checks_[invariant - 1]; }

  // Counts a check of an invariant and notes when it fails.
  void Check(int invariant, bool holds, const std::string& detail);

  // I1. The agreed budget from now on, in server milliseconds per second and
  // endpoint, and the slack of one probe for each of `entry_vms`.
  void SetProbeBudget(double budget_ms, std::size_t entry_vms);
  // `server` ran a probe that cost `cost_ms`.
  void ProbeRan(std::uint64_t server, double cost_ms);

  // I2. A caller takes `body` for the answer to `request`.
  void AnswerTaken(const wire_request& request, const std::string& body);

  // I3 and I4. A server starts to run a request.
  void RunStarted(const wire_request& request);
  // I3. An entry VM tells that the request was not run.
  void ToldNotRun(const wire_request& request);

  // I5. `process` has received a sign that `server` leaves.
  void LearnedLeaving(std::uint64_t process, std::uint64_t server);
  // I5. A leaving server received new work. `is_undisturbed` says that the
  // process could talk to the platform all the time since the server left.
  void WorkReceived(std::uint64_t process,
                    std::uint64_t server,
                    time_span leaving_for,
                    bool is_undisturbed);

  std::uint64_t unknowing_receipts() const { return unknowing_receipts_; }

 private:
  struct subject_record {
    std::uint64_t runs = 0;
    unsigned highest_not_run = 0;  // Highest attempt told "not run"; 0: none.
  };
  struct probe_budget_step {
    monotonic_time from;
    double budget_ms = 0;
  };

  double AllowedProbeTime(monotonic_time from, monotonic_time to) const;

  const scheduler& time_;
  std::optional<violation> broken_;
  std::array<std::uint64_t, kInvariants> checks_{};

  std::deque<probe_budget_step> budgets_;  // Oldest first.
  std::size_t entry_vms_ = 0;
  std::unordered_map<std::uint64_t,
                     std::deque<std::pair<monotonic_time, double>>>
      probes_;  // By server.

  std::unordered_map<std::uint64_t, subject_record> subjects_;
  // Runs of what a caller wants once, over all keys that it used for it.
  std::unordered_map<std::uint64_t, std::uint64_t> once_only_runs_;

  // By process and server: when the first sign arrived.
  std::map<std::pair<std::uint64_t, std::uint64_t>, monotonic_time> signs_;
  std::uint64_t unknowing_receipts_ = 0;
};

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_JUDGE_H_
