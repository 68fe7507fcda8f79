// The checks.
#include "misc/soak/judge.h"

#include <algorithm>

namespace papayakeel::soak {

namespace {

// Spans over which probe time is compared with the budget: a short one for
// bursts, a long one for the rate.
constexpr std::array<time_span, 2> kProbeWindows{std::chrono::seconds(5),
                                                 std::chrono::seconds(30)};

// "A few seconds" of I5.
constexpr time_span kLeavingLimit = std::chrono::seconds(5);

// From a sign of leaving at an entry VM to the last request that it had
// already sent: connecting and sending.
constexpr time_span kSignLimit = std::chrono::milliseconds(100);

}  // namespace

void judge::Check(int invariant, bool holds, const std::string& detail) {
  ++checks_[invariant - 1];
  if (!holds && !broken_)
    broken_ = violation{invariant, detail};
}

void judge::SetProbeBudget(double budget_ms, std::size_t entry_vms) {
  entry_vms_ = entry_vms;
  if (!budgets_.empty() && budgets_.back().budget_ms == budget_ms)
    return;
  budgets_.push_back({time_.now(), budget_ms});
}

void judge::ProbeRan(std::uint64_t server, double cost_ms) {
  std::deque<std::pair<monotonic_time, double>>& probes = probes_[server];
  const monotonic_time now = time_.now();
  probes.emplace_back(now, cost_ms);
  while (probes.front().first <= now - kProbeWindows.back())
    probes.pop_front();
  const double slack = static_cast<double>(entry_vms_) * cost_ms;
  for (const time_span window : kProbeWindows) {
    double spent = 0;
    for (const auto& [at, cost] : probes)
      spent += at > now - window ? cost : 0;
    const double allowed = AllowedProbeTime(now - window, now) + slack;
    Check(1, spent <= allowed + 1e-6,
          "server " + std::to_string(server) + " spent " +
              std::to_string(spent) + " ms on probes in " +
              std::to_string(ToMilliseconds(window)) + " ms, allowed " +
              std::to_string(allowed));
  }
}

void judge::AnswerTaken(const wire_request& request, const std::string& body) {
  Check(2, body == AnswerBody(request.content),
        "request for " + std::to_string(request.content) + " got \"" + body +
            "\"");
}

void judge::RunStarted(const wire_request& request) {
  subject_record& subject = subjects_[request.subject];
  ++subject.runs;
  Check(3, request.attempt > subject.highest_not_run,
        "subject " + std::to_string(request.subject) + " attempt " +
            std::to_string(request.attempt) + " runs after attempt " +
            std::to_string(subject.highest_not_run) + " was told not run");
  if (!request.is_once_only)
    return;
  // Without a key the caller itself answers for what it sends again.
  const std::uint64_t runs =
      request.key.empty() ? 1 : ++once_only_runs_[request.content];
  Check(4, subject.runs == 1 && runs == 1,
        "once-only subject " + std::to_string(request.subject) + " runs again");
}

void judge::ToldNotRun(const wire_request& request) {
  subject_record& subject = subjects_[request.subject];
  subject.highest_not_run = std::max(subject.highest_not_run, request.attempt);
  Check(3, subject.runs == 0,
        "subject " + std::to_string(request.subject) + " attempt " +
            std::to_string(request.attempt) +
            " was told not run, but a server had run it");
}

void judge::LearnedLeaving(std::uint64_t process, std::uint64_t server) {
  signs_.try_emplace({process, server}, time_.now());
}

void judge::WorkReceived(std::uint64_t process,
                         std::uint64_t server,
                         time_span leaving_for,
                         bool is_undisturbed) {
  const auto sign = signs_.find({process, server});
  const bool knew =
      sign != signs_.end() && time_.now() - sign->second > kSignLimit;
  const bool is_late = leaving_for > kLeavingLimit;
  if (is_late && !is_undisturbed && !knew)
    ++unknowing_receipts_;
  Check(5, !knew && !(is_late && is_undisturbed),
        "server " + std::to_string(server) + " received work from process " +
            std::to_string(process) + " " +
            std::to_string(ToMilliseconds(leaving_for)) +
            " ms after it began to leave" +
            (knew ? ", which knew that it leaves" : ""));
}

double judge::AllowedProbeTime(monotonic_time from, monotonic_time to) const {
  double allowed = 0;
  for (std::size_t each = 0; each < budgets_.size(); ++each) {
    const monotonic_time begin =
        each == 0 ? from : std::max(from, budgets_[each].from);
    const monotonic_time end =
        each + 1 < budgets_.size() ? std::min(to, budgets_[each + 1].from) : to;
    if (end > begin)
      allowed += ToMilliseconds(end - begin) / 1000 * budgets_[each].budget_ms;
  }
  return allowed;
}

}  // namespace papayakeel::soak
