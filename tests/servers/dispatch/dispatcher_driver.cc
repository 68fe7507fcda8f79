// Checks the invariants of a dispatcher.
#include "tests/servers/dispatch/dispatcher_driver.h"

#include <algorithm>
#include <utility>

namespace papayakeel {

dispatcher_driver::dispatcher_driver(dispatch_settings initial_settings)
    : settings(std::move(initial_settings)),
      subject(settings, MakeHooks(), [this] {
        random_state_ = random_state_ * 6364136223846793005U + 1;
        return random_state_;
      }) {}

void dispatcher_driver::SetEndpoints(int count) {
  std::vector<endpoint_info> infos;
  for (int index = 0; index < count; ++index) {
    const network_address address = Address(index);
    infos.push_back({address, "a", leaving.count(address) > 0});
  }
  subject.SetEndpoints(infos, now);
}

call_id dispatcher_driver::Submit(call added) {
  added.id = submitted.size() + 1;
  added.arrival = now;
  if (added.deadline == monotonic_time{})
    added.deadline = now + std::chrono::seconds(2);
  submitted[added.id] = added;
  subject.Submit(added, now);
  return added.id;
}

void dispatcher_driver::Report(attempt_id id,
                               attempt_result result,
                               bool is_leaving) {
  const attempt_order order = running.at(id);
  running.erase(id);
  if (is_leaving)
    leaving.insert(order.endpoint);
  if (result == attempt_result::kNotRun)
    may_have_run_[order.call] = false;
  attempt_report report;
  report.id = id;
  report.result = result;
  report.is_leaving = is_leaving;
  subject.Report(report, now);
}

void dispatcher_driver::Cancel(call_id id) {
  if (submitted.count(id) > 0 && finished.count(id) == 0)
    cancelled_.insert(id);
  subject.Cancel(id, now);
}

void dispatcher_driver::AdvanceTo(monotonic_time time) {
  // More than 200 timers plus 10 per millisecond indicate a busy loop.
  double steps_left = 200 + 10 * ToMilliseconds(time - now);
  while (const std::optional<monotonic_time> due = subject.NextDeadline()) {
    if (*due > time)
      break;
    if (--steps_left < 0) {
      violations.emplace_back("too many timers: busy loop");
      break;
    }
    now = std::max(now, *due);
    subject.Advance(now);
  }
  now = time;
  subject.Advance(now);
}

network_address dispatcher_driver::Address(int index) {
  return {"10.0.0.1", static_cast<std::uint16_t>(index + 1)};
}

dispatch_hooks dispatcher_driver::MakeHooks() {
  dispatch_hooks hooks;
  hooks.start_attempt = [this](const attempt_order& order) { OnStart(order); };
  hooks.cancel_attempt = [this](attempt_id id) {
    if (running.count(id) == 0)
      violations.emplace_back("cancelled an attempt that is not running");
    else if (submitted.at(running.at(id).call).once_only)
      violations.emplace_back("cancelled an attempt of a once-only call");
    running.erase(id);
  };
  hooks.finish_call = [this](const call_result& result) { OnFinish(result); };
  hooks.start_probe = [this](const network_address& endpoint) {
    probes.push_back(endpoint);
  };
  hooks.share_finding = [this](const endpoint_finding& finding) {
    findings.push_back(finding);
  };
  return hooks;
}

void dispatcher_driver::OnStart(const attempt_order& order) {
  const call& owner = submitted.at(order.call);
  running[order.id] = order;
  orders.push_back(order);
  const auto on_endpoint = std::count_if(
      running.begin(), running.end(), [&order](const auto& entry) {
        return entry.second.endpoint == order.endpoint;
      });
  if (on_endpoint > settings.slots_per_endpoint)
    violations.emplace_back("more attempts than slots on an endpoint");
  if (leaving.count(order.endpoint) > 0)
    violations.emplace_back("attempt on a leaving endpoint");
  if (finished.count(order.call) > 0 || cancelled_.count(order.call) > 0)
    violations.emplace_back("attempt for a finished or cancelled call");
  if (owner.deadline <= now)
    violations.emplace_back("attempt started after the deadline");
  if (owner.once_only && (order.is_hedge || may_have_run_[order.call]))
    violations.emplace_back(
        "second attempt of a once-only call that may have run");
  may_have_run_[order.call] = true;
}

void dispatcher_driver::OnFinish(const call_result& result) {
  if (!finished.emplace(result.call, result).second ||
      cancelled_.count(result.call) > 0)
    violations.emplace_back("finished a call twice or after its cancellation");
  const bool may_have_run = may_have_run_[result.call];
  if (result.outcome == call_outcome::kNotRun && may_have_run)
    violations.emplace_back("reported kNotRun for a call that may have run");
}

}  // namespace papayakeel
