// Endpoints with several slots and the event loop of the simulation.
#include "tests/servers/scheduling/uneven_load.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "servers/scheduling/slot_scheduler.h"

namespace papayakeel {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr time_span kNetworkDelay = milliseconds(2);
constexpr time_span kSampleInterval = milliseconds(100);
constexpr double kContendedShare = 0.8;

struct slow_endpoint {
  endpoint_entry entry;
  bool is_slow = false;
  monotonic_time phase_ends;
  int running = 0;
  int late_starts = 0;  // Starts a second after `warm_up` and later.
};

struct caller_state {
  double work_ms = 0;
  monotonic_time arrived;
  monotonic_time started;
};

double Quantile(std::vector<double>& values, double quantile) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1))];
}

class uneven_simulation {
 public:
  explicit uneven_simulation(const uneven_load& load)
      : load_(load), generator_(load.seed) {
    slot_settings settings;
    settings.service = "incheckning";
    settings.repeats = {0.2, std::chrono::seconds(10), 14};
    settings.probes_per_second = load.probes_per_second;
    slot_hooks hooks;
    hooks.grant = [this](const slot_grant& grant) {
      At(now_ + kNetworkDelay, [this, grant] { StartWork(grant); });
    };
    hooks.reject = [this](const slot_rejection& rejection) {
      const auto found = callers_.find(rejection.request);
      if (found == callers_.end())
        return;
      result_.refused += IsCounted(found->second.arrived) ? 1 : 0;
      callers_.erase(found);
    };
    hooks.probe = [this](const endpoint_entry& endpoint) {
      const time_span delay =
          milliseconds(2) +
          std::chrono::duration_cast<time_span>(milliseconds(6) * Uniform());
      probes_ += IsCounted(now_) ? 1 : 0;
      At(now_ + delay / 2, [this, id = endpoint.id, delay] {
        const endpoint_load sampled = ReportedLoad(endpoints_.at(id));
        At(now_ + delay / 2,
           [this, id, sampled] { scheduler_->ReportProbe(id, sampled, now_); });
      });
    };
    scheduler_ = std::make_unique<slot_scheduler>(
        settings, hooks, [this] { return generator_(); });
    std::vector<endpoint_entry> entries;
    for (int index = 0; index < load.endpoints; ++index) {
      slow_endpoint endpoint;
      endpoint.entry.id = "i-" + std::to_string(index);
      endpoint.entry.service = settings.service;
      endpoint.entry.slots = load.slots;
      entries.push_back(endpoint.entry);
      const auto added = endpoints_.emplace(endpoint.entry.id, endpoint).first;
      added->second.is_slow = Uniform() < load_.slow_share;
      EndPhase(added->second);
    }
    scheduler_->SetEndpoints(entries, now_);
  }

  uneven_result Run() {
    At(now_ + kSampleInterval, [this] { Sample(); });
    ScheduleArrival();
    while (!events_.empty()) {
      const std::optional<monotonic_time> due = scheduler_->NextDeadline();
      if (due && *due <= events_.begin()->first) {
        now_ = std::max(now_, *due);
        scheduler_->Advance(now_);
        continue;
      }
      const auto next = events_.begin();
      now_ = std::max(now_, next->first);
      const std::function<void()> action = std::move(next->second);
      events_.erase(next);
      action();
    }
    return Finish();
  }

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>()(generator_);
  }
  bool IsCounted(monotonic_time time) const {
    return time - start_ >= load_.warm_up && time - start_ < load_.length;
  }
  bool IsOver() const { return now_ - start_ >= load_.length; }
  void At(monotonic_time due, std::function<void()> action) {
    events_.emplace(due, std::move(action));
  }

  void EndPhase(slow_endpoint& endpoint) {
    const double mean =
        ToMilliseconds(load_.slow_phase) *
        (endpoint.is_slow ? 1 : (1 - load_.slow_share) / load_.slow_share);
    At(now_ + FromMilliseconds(mean * (0.5 + Uniform())), [this, &endpoint] {
      endpoint.is_slow = !endpoint.is_slow;
      if (!IsOver() || !callers_.empty())
        EndPhase(endpoint);
    });
  }

  void ScheduleArrival() {
    const double mean_work = ToMilliseconds(load_.work) *
                             (1 + load_.long_share * (load_.long_factor - 1));
    const double gap_ms =
        mean_work / (load_.share * load_.endpoints * load_.slots);
    At(now_ + FromMilliseconds(-std::log(1 - Uniform()) * gap_ms), [this] {
      if (IsOver())
        return;
      Submit();
      ScheduleArrival();
    });
  }

  void Submit() {
    caller_state caller;
    caller.arrived = now_;
    std::normal_distribution<double> normal(-load_.spread * load_.spread / 2,
                                            load_.spread);
    caller.work_ms = ToMilliseconds(load_.work) * std::exp(normal(generator_));
    if (Uniform() < load_.long_share)
      caller.work_ms *= load_.long_factor;
    slot_request request;
    request.key = {"10.0.0.1:7000", next_number_++};
    request.work_class = "read";
    request.may_repeat = load_.may_repeat;
    request.max_attempts = 2;
    request.goal = load_.goal;
    request.arrival = now_;
    request.deadline = now_ + load_.deadline;
    result_.requests += IsCounted(now_) ? 1 : 0;
    callers_[request.key] = caller;
    scheduler_->Submit(request, now_);
  }

  void StartWork(const slot_grant& grant) {
    const auto found = callers_.find(grant.request);
    if (found == callers_.end())
      return;
    caller_state& caller = found->second;
    caller.started = now_;
    slow_endpoint& endpoint = endpoints_.at(grant.endpoint.id);
    result_.slot_overruns += endpoint.running >= load_.slots ? 1 : 0;
    ++endpoint.running;
    const bool is_contended =
        endpoint.running > kContendedShare * load_.slots + 1e-9;
    const bool is_silent_slow =
        now_ - start_ >= load_.warm_up && load_.silent_slow_endpoint >= 0 &&
        endpoint.entry.id == "i-" + std::to_string(load_.silent_slow_endpoint);
    const double slow =
        endpoint.is_slow || is_silent_slow ? load_.slow_factor : 1;
    const double contended = is_contended ? load_.contention_factor : 1;
    const double run_ms = caller.work_ms * slow * contended;
    if (IsCounted(now_)) {
      ++starts_;
      slow_starts_ += slow > 1 ? 1 : 0;
      contended_starts_ += is_contended ? 1 : 0;
      work_ms_ += caller.work_ms;
      run_ms_ += run_ms;
      slow_excess_ms_ += caller.work_ms * (slow - 1);
      contention_excess_ms_ += caller.work_ms * slow * (contended - 1);
      ratios_.push_back(slow * contended);
    }
    if (now_ - start_ >= load_.warm_up + std::chrono::seconds(1))
      ++endpoint.late_starts;
    At(now_ + FromMilliseconds(run_ms), [this, grant, &endpoint] {
      --endpoint.running;
      At(now_ + kNetworkDelay,
         [this, grant, load = ReportedLoad(endpoint)] { Answer(grant, load); });
    });
  }

  void Answer(const slot_grant& grant, const endpoint_load& load) {
    const auto found = callers_.find(grant.request);
    if (found != callers_.end()) {
      const caller_state& caller = found->second;
      if (IsCounted(caller.arrived)) {
        result_.in_goal += now_ - caller.arrived <= load_.goal ? 1 : 0;
        waits_.push_back(ToMilliseconds(caller.started - caller.arrived));
      }
      callers_.erase(found);
    }
    scheduler_->Report(grant.request, grant.attempt, attempt_outcome::kAnswered,
                       load, now_);
  }

  endpoint_load ReportedLoad(const slow_endpoint& endpoint) const {
    return {endpoint.running, 0, load_.slots,
            endpoint.is_slow ? load_.slow_factor : 1};
  }

  void Sample() {
    if (IsOver())
      return;
    if (IsCounted(now_)) {
      const slot_scheduler::summary sum = scheduler_->Summarize(now_);
      slow_shares_.push_back(static_cast<double>(sum.slow_endpoints) /
                             std::max(sum.free_endpoints, 1));
      result_.contention = sum.contention_factor;
      result_.usual_work = ToMilliseconds(sum.usual_work.at("read")) /
                           ToMilliseconds(load_.work);
    }
    At(now_ + kSampleInterval, [this] { Sample(); });
  }

  uneven_result Finish() {
    const double seconds = ToMilliseconds(load_.length - load_.warm_up) / 1000;
    result_.mean_ratio = run_ms_ / work_ms_;
    result_.slow_excess = slow_excess_ms_ / work_ms_;
    result_.contention_excess = contention_excess_ms_ / work_ms_;
    result_.median_ratio = Quantile(ratios_, 0.5);
    result_.ratio_95 = Quantile(ratios_, 0.95);
    result_.slow_starts = slow_starts_ / starts_;
    result_.contended_starts = contended_starts_ / starts_;
    for (const double wait : waits_)
      result_.mean_wait_ms += wait / static_cast<double>(waits_.size());
    result_.wait_95_ms = Quantile(waits_, 0.95);
    result_.probes = probes_ / seconds / load_.endpoints;
    for (const double share : slow_shares_)
      result_.slow_count += share / static_cast<double>(slow_shares_.size());
    double late_starts = 0;
    for (const auto& [id, endpoint] : endpoints_)
      late_starts += endpoint.late_starts;
    const auto silent =
        endpoints_.find("i-" + std::to_string(load_.silent_slow_endpoint));
    if (silent != endpoints_.end()) {
      result_.silent_slow_starts =
          silent->second.late_starts * load_.endpoints / late_starts;
    }
    return result_;
  }

  const uneven_load load_;
  std::mt19937_64 generator_;
  std::unique_ptr<slot_scheduler> scheduler_;
  std::map<std::string, slow_endpoint> endpoints_;
  std::map<request_key, caller_state> callers_;
  std::multimap<monotonic_time, std::function<void()>> events_;
  std::uint64_t next_number_ = 1;
  monotonic_time now_{std::chrono::seconds(100)};
  const monotonic_time start_ = now_;
  uneven_result result_;
  double starts_ = 0;
  double slow_starts_ = 0;
  double contended_starts_ = 0;
  double work_ms_ = 0;
  double run_ms_ = 0;
  double slow_excess_ms_ = 0;
  double contention_excess_ms_ = 0;
  double probes_ = 0;
  std::vector<double> ratios_;
  std::vector<double> waits_;
  std::vector<double> slow_shares_;
};

}  // namespace

uneven_result RunUnevenLoad(const uneven_load& load) {
  return uneven_simulation(load).Run();
}

}  // namespace papayakeel
