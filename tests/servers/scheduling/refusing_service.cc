// Event loop, endpoints and callers of the simulated service.
#include "tests/servers/scheduling/refusing_service.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>

#include "servers/placement/service_shard.h"

namespace papayakeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One-way delays: from a caller to the owner through the holder, and from the
// owner to an endpoint through the holder.
constexpr time_span kCallerDelay = milliseconds(3);
constexpr time_span kEndpointDelay = milliseconds(3);
constexpr time_span kProbeTime = milliseconds(4);
constexpr time_span kPhaseLength = milliseconds(150);
constexpr time_span kImpatientDelay = milliseconds(2);
constexpr time_span kCalmBefore = seconds(14);
constexpr time_span kCalmAfter = seconds(4);
constexpr double kBudgetRatio = 0.2;
constexpr double kBudgetSlack = 208;
constexpr time_span kBudgetWindow = seconds(10);
// Share of the slack that an owner uses (modules/slot_link).
constexpr double kOwnerSlackShare = 0.25;
constexpr double kContentionFactor = 1.7;
constexpr double kContendedSlotShare = 0.8;

struct simulated_endpoint {
  endpoint_entry entry;
  std::size_t shard = 0;
  bool is_first = false;
  bool is_slow = false;
  monotonic_time phase_ends;
  int running = 0;
};

struct simulated_caller {
  std::size_t kind = 0;
  monotonic_time arrived;
  int tries_left = 0;
  bool is_impatient = false;
  bool is_counted = false;  // Arrived during the burst.
  bool has_ended = false;
};

struct open_try {
  std::shared_ptr<simulated_caller> caller;
  std::size_t shard = 0;
  monotonic_time sent;
  monotonic_time deadline;
  int attempts = 0;
  int running = 0;
  bool may_have_run = false;
};

class service_run {
 public:
  explicit service_run(const refusing_service& service)
      : service_(service), generator_(service.seed) {
    const std::uint32_t shards = ShardCount(service.endpoints);
    slot_settings settings;
    settings.service = "lookups";
    settings.repeats = {kBudgetRatio, kBudgetWindow,
                        kBudgetSlack * kOwnerSlackShare / shards};
    settings.probes_per_second = 42 * 0.6;
    for (std::size_t shard = 0; shard < shards; ++shard) {
      slot_hooks hooks;
      hooks.grant = [this](const slot_grant& grant) { OnGrant(grant); };
      hooks.reject = [this](const slot_rejection& rejection) {
        OnReject(rejection);
      };
      hooks.probe = [this](const endpoint_entry& endpoint) {
        After(kProbeTime, [this, id = endpoint.id] { AnswerProbe(id); });
      };
      owners_.push_back(std::make_unique<slot_scheduler>(
          settings, hooks, [this] { return generator_(); }));
    }
    std::vector<std::vector<endpoint_entry>> entries(shards);
    for (int index = 0; index < service.endpoints; ++index) {
      simulated_endpoint endpoint;
      endpoint.entry.id = "i-" + std::to_string(index);
      endpoint.entry.service = settings.service;
      endpoint.entry.slots = service.slots;
      endpoint.shard = index % shards;
      endpoint.is_first = entries[endpoint.shard].empty();
      entries[endpoint.shard].push_back(endpoint.entry);
      endpoints_[endpoint.entry.id] = endpoint;
    }
    for (std::size_t shard = 0; shard < shards; ++shard)
      owners_[shard]->SetEndpoints(entries[shard], now_);
    result_.kinds.resize(service.kinds.size());
  }

  refusing_service_result Run() {
    const monotonic_time end =
        now_ + kCalmBefore + service_.burst_length + kCalmAfter;
    while (now_ < end) {
      now_ += milliseconds(1);
      for (auto& [id, endpoint] : endpoints_)
        ChangePhase(endpoint);
      RunEvents();
      GenerateCallers();
      for (const std::unique_ptr<slot_scheduler>& owner : owners_) {
        const std::optional<monotonic_time> due = owner->NextDeadline();
        if (due && *due <= now_)
          owner->Advance(now_);
      }
      RunEvents();
    }
    for (const std::unique_ptr<slot_scheduler>& owner : owners_) {
      result_.hedges += owner->counters().hedges;
      result_.retries += owner->counters().retries;
    }
    const double firsts = static_cast<double>(owners_.size());
    result_.first_endpoint_attempts /= firsts;
    result_.other_endpoint_attempts /= service_.endpoints - firsts;
    return result_;
  }

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>()(generator_);
  }

  void After(time_span delay, std::function<void()> action) {
    events_.emplace(now_ + delay, std::move(action));
  }

  void RunEvents() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const std::function<void()> action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
  }

  bool IsInBurst() const {
    const time_span age = now_ - start_;
    return age >= kCalmBefore && age < kCalmBefore + service_.burst_length;
  }

  void GenerateCallers() {
    for (std::size_t index = 0; index < service_.kinds.size(); ++index) {
      const caller_kind& kind = service_.kinds[index];
      double expected = kind.requests_per_second / 1000 *
                        (IsInBurst() ? service_.burst_factor : 1);
      for (; Uniform() < expected; expected -= 1) {
        const auto caller = std::make_shared<simulated_caller>();
        caller->kind = index;
        caller->arrived = now_;
        caller->is_impatient = Uniform() < kind.impatient_share;
        caller->tries_left =
            caller->is_impatient ? kind.impatient_tries : kind.further_tries;
        caller->is_counted = IsInBurst();
        result_.kinds[index].callers += caller->is_counted ? 1 : 0;
        Send(caller);
      }
    }
  }

  void Send(const std::shared_ptr<simulated_caller>& caller) {
    const caller_kind& kind = service_.kinds[caller->kind];
    const time_span left = caller->arrived + kind.limit - now_;
    if (left < milliseconds(1))
      return EndCaller(*caller, &kind_result::expired);
    result_.kinds[caller->kind].tries += caller->is_counted ? 1 : 0;
    slot_request request;
    request.key = {"10.0.0.1:7000", next_number_++};
    request.work_class = kind.work_class;
    request.importance = kind.importance;
    request.may_repeat = kind.may_repeat;
    request.max_attempts = kind.max_attempts;
    request.goal = kind.goal;
    request.arrival = now_;
    request.deadline = now_ + std::min(left, kind.route_timeout);
    request.stated_limit = std::chrono::duration_cast<milliseconds>(left);
    open_try attempt;
    attempt.caller = caller;
    attempt.shard = generator_() % owners_.size();
    attempt.sent = now_;
    attempt.deadline = request.deadline;
    tries_[request.key] = attempt;
    After(kCallerDelay, [this, request, shard = attempt.shard] {
      CountRequest();
      owners_[shard]->Submit(request, now_);
    });
    After(request.deadline - now_,
          [this, key = request.key] { OnTimeout(key); });
  }

  void EndCaller(simulated_caller& caller, int kind_result::*count) {
    if (caller.has_ended)
      return;
    caller.has_ended = true;
    if (caller.is_counted)
      ++(result_.kinds[caller.kind].*count);
  }

  // A caller learns that its try failed and sends the next one, if it has any.
  void EndTry(const request_key& key,
              time_span retry_after,
              int kind_result::*count) {
    const auto found = tries_.find(key);
    const std::shared_ptr<simulated_caller> caller = found->second.caller;
    tries_.erase(found);
    const caller_kind& kind = service_.kinds[caller->kind];
    const time_span left = caller->arrived + kind.limit - now_;
    const time_span delay = caller->is_impatient      ? kImpatientDelay
                            : retry_after <= left / 3 ? retry_after
                                                      : time_span(0);
    if (caller->tries_left == 0)
      return EndCaller(*caller, count);
    --caller->tries_left;
    After(kCallerDelay + delay, [this, caller] { Send(caller); });
  }

  void OnReject(const slot_rejection& rejection) {
    // The hook must not call the scheduler.
    After(time_span(0), [this, rejection] {
      const auto found = tries_.find(rejection.request);
      if (found == tries_.end())
        return;
      const open_try& refused = found->second;
      if (refused.attempts == 0 && refused.caller->is_counted) {
        kind_result& kind = result_.kinds[refused.caller->kind];
        ++kind.unsent_refusals;
        kind.longest_unsent_hold =
            std::max<time_span>(kind.longest_unsent_hold, now_ - refused.sent);
      }
      // Only callers of idempotent requests try again after an attempt that may
      // have run.
      const caller_kind& kind = service_.kinds[refused.caller->kind];
      if (refused.may_have_run && !kind.may_repeat)
        refused.caller->tries_left = 0;
      EndTry(rejection.request,
             std::max(rejection.retry_after, service_.min_retry_after),
             &kind_result::refused);
    });
  }

  void OnTimeout(const request_key& key) {
    const auto found = tries_.find(key);
    if (found == tries_.end())
      return;
    if (!service_.kinds[found->second.caller->kind].may_repeat &&
        found->second.running > 0)
      found->second.caller->tries_left = 0;
    const std::size_t shard = found->second.shard;
    EndTry(key, time_span(0), &kind_result::expired);
    owners_[shard]->Cancel(key, now_);
  }

  void OnGrant(const slot_grant& grant) {
    After(kEndpointDelay, [this, grant] { StartAttempt(grant); });
  }

  void StartAttempt(const slot_grant& grant) {
    const auto found = tries_.find(grant.request);
    if (found == tries_.end())
      return;
    open_try& request = found->second;
    ++request.attempts;
    if (request.attempts > 1)
      CountRepeat();
    simulated_endpoint& endpoint = endpoints_.at(grant.endpoint.id);
    if (IsInBurst()) {
      ++(endpoint.is_first ? result_.first_endpoint_attempts
                           : result_.other_endpoint_attempts);
    }
    const double refused_share =
        endpoint.is_first && service_.first_endpoint_refused_share >= 0
            ? service_.first_endpoint_refused_share
            : service_.refused_share;
    const bool is_full = endpoint.running >= service_.slots;
    if (is_full || (IsInBurst() && Uniform() < refused_share)) {
      After(kEndpointDelay, [this, grant, load = ReportedLoad(endpoint)] {
        Report(grant, attempt_outcome::kRejected, load);
      });
      return;
    }
    ++endpoint.running;
    ++request.running;
    const caller_kind& kind = service_.kinds[request.caller->kind];
    double factor = 0.8 + 0.4 * Uniform();
    if (endpoint.is_slow)
      factor *= service_.slow_factor;
    if (endpoint.running > kContendedSlotShare * service_.slots)
      factor *= kContentionFactor;
    const time_span work = FromMilliseconds(ToMilliseconds(kind.work) * factor);
    After(work, [this, grant] {
      simulated_endpoint& ended = endpoints_.at(grant.endpoint.id);
      --ended.running;
      After(kEndpointDelay, [this, grant, load = ReportedLoad(ended)] {
        Report(grant, attempt_outcome::kAnswered, load);
      });
    });
  }

  void Report(const slot_grant& grant,
              attempt_outcome outcome,
              const endpoint_load& load) {
    const auto found = tries_.find(grant.request);
    if (found == tries_.end())
      return;
    const std::size_t shard = found->second.shard;
    if (outcome == attempt_outcome::kAnswered) {
      simulated_caller& caller = *found->second.caller;
      const caller_kind& kind = service_.kinds[caller.kind];
      EndCaller(caller, now_ - caller.arrived <= kind.goal
                            ? &kind_result::timely
                            : &kind_result::late);
      tries_.erase(found);
    }
    owners_[shard]->Report(grant.request, grant.attempt, outcome, load, now_);
  }

  endpoint_load ReportedLoad(const simulated_endpoint& endpoint) const {
    return {endpoint.running, 0, service_.slots,
            endpoint.is_slow ? service_.slow_factor : 1};
  }

  void AnswerProbe(const std::string& id) {
    const simulated_endpoint& endpoint = endpoints_.at(id);
    owners_[endpoint.shard]->ReportProbe(id, ReportedLoad(endpoint), now_);
  }

  void ChangePhase(simulated_endpoint& endpoint) {
    if (now_ < endpoint.phase_ends)
      return;
    endpoint.is_slow = Uniform() < service_.slow_share;
    endpoint.phase_ends = now_ + kPhaseLength;
  }

  void CountRequest() { requests_.push_back(now_); }

  void CountRepeat() {
    repeats_.push_back(now_);
    const auto expire = [this](std::deque<monotonic_time>& times) {
      while (!times.empty() && now_ - times.front() > kBudgetWindow)
        times.pop_front();
      return static_cast<double>(times.size());
    };
    result_.budget_excess = std::max(
        result_.budget_excess,
        expire(repeats_) - kBudgetRatio * expire(requests_) - kBudgetSlack);
  }

  const refusing_service service_;
  std::mt19937_64 generator_;
  std::vector<std::unique_ptr<slot_scheduler>> owners_;
  std::map<std::string, simulated_endpoint> endpoints_;
  std::map<request_key, open_try> tries_;
  std::multimap<monotonic_time, std::function<void()>> events_;
  // Arrival times at the service within the last window.
  std::deque<monotonic_time> requests_;
  std::deque<monotonic_time> repeats_;
  std::uint64_t next_number_ = 1;
  monotonic_time now_{seconds(100)};
  const monotonic_time start_ = now_;
  refusing_service_result result_;
};

}  // namespace

refusing_service_result RunRefusingService(const refusing_service& service) {
  return service_run(service).Run();
}

}  // namespace papayakeel
