// Simulated endpoints and callers, and the event loop of the driver.
#include "tests/servers/scheduling/slot_scheduler_driver.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace papayakeel {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr time_span kStep = milliseconds(1);
constexpr time_span kProbeTime = milliseconds(6);
constexpr double kProbesPerSecond = 36;

struct running_work {
  request_key request;
  std::uint64_t attempt = 0;
  double remaining_ms = 0;
};

struct virtual_endpoint {
  endpoint_entry entry;
  int zone = 0;
  bool is_slow = false;
  monotonic_time phase_ends;
  std::vector<running_work> running;
};

// A caller without an answer so far.
struct waiting_caller {
  int zone = 0;
  monotonic_time arrived_at;
  int retries_left = 0;
  bool is_settled = false;
};

class load_simulation {
 public:
  explicit load_simulation(const scheduler_load& load)
      : load_(load), generator_(load.seed) {
    slot_settings settings;
    settings.service = "matregister";
    settings.repeats = {0.2, std::chrono::seconds(10), 14};
    settings.probes_per_second = kProbesPerSecond;
    slot_hooks hooks;
    hooks.grant = [this](const slot_grant& grant) { OnGrant(grant); };
    hooks.reject = [this](const slot_rejection& rejection) {
      OnReject(rejection);
    };
    hooks.probe = [this](const endpoint_entry& endpoint) {
      probes_.emplace_back(now_ + kProbeTime, endpoint.id);
    };
    scheduler_ = std::make_unique<slot_scheduler>(
        settings, hooks, [this] { return generator_(); });
    const std::vector<int> zones = load.zone_endpoints.empty()
                                       ? std::vector<int>{load.endpoints}
                                       : load.zone_endpoints;
    zones_ = static_cast<int>(zones.size());
    for (int zone = 0; zone < zones_; ++zone) {
      for (int count = 0; count < zones[zone]; ++count) {
        virtual_endpoint endpoint;
        endpoint.entry.id = "i-" + std::to_string(endpoints_.size());
        endpoint.entry.service = settings.service;
        endpoint.entry.slots = load.slots;
        endpoint.entry.availability_zone = ZoneName(zone);
        endpoint.zone = zone;
        endpoints_[endpoint.entry.id] = endpoint;
      }
    }
    ListEndpoints();
  }

  scheduler_result Run() {
    const monotonic_time end = now_ + load_.length;
    while (now_ < end || !arrivals_.empty() || !scheduled_retries_.empty()) {
      now_ += kStep;
      if (IsZoneLost() != was_zone_lost_)
        ListEndpoints();
      SendScheduledRetries();
      DeliverGrants();
      if (now_ < end)
        GenerateArrivals();
      for (auto& [id, endpoint] : endpoints_)
        AdvanceWork(endpoint);
      AnswerProbes();
      const std::optional<monotonic_time> due = scheduler_->NextDeadline();
      if (due && *due <= now_)
        scheduler_->Advance(now_);
    }
    result_.probes = scheduler_->counters().probes;
    result_.repeats =
        scheduler_->counters().hedges + scheduler_->counters().retries;
    return result_;
  }

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>()(generator_);
  }

  std::string ZoneName(int zone) const {
    return load_.is_pooled ? "zone" : "zone-" + std::to_string(zone);
  }

  bool IsZoneLost() const {
    const time_span age = now_ - start_;
    return load_.lost_zone >= 0 && age >= load_.lost_from &&
           age < load_.lost_until;
  }

  void ListEndpoints() {
    was_zone_lost_ = IsZoneLost();
    std::vector<endpoint_entry> entries;
    for (const auto& [id, endpoint] : endpoints_) {
      if (!was_zone_lost_ || endpoint.zone != load_.lost_zone)
        entries.push_back(endpoint.entry);
    }
    scheduler_->SetEndpoints(entries, now_);
  }

  // Delay between the entry VM of a request and an endpoint.
  time_span PathDelay(int zone, const virtual_endpoint& endpoint) const {
    const bool is_far = !load_.is_pooled && zone != endpoint.zone;
    return is_far ? load_.zone_delay : time_span(0);
  }

  int ChooseZone() {
    double position = Uniform();
    for (int zone = 0; zone + 1 < zones_; ++zone) {
      position -= load_.zone_share ? load_.zone_share(zone, now_ - start_)
                                   : 1.0 / zones_;
      if (position < 0)
        return zone;
    }
    return zones_ - 1;
  }

  bool IsInBurst() const {
    const time_span age = now_ - start_;
    return age >= load_.burst_from && age < load_.burst_until;
  }

  void GenerateArrivals() {
    const double factor = IsInBurst() ? load_.burst_factor : 1;
    double expected = factor * load_.requests_per_second / 1000;
    for (; Uniform() < expected; expected -= 1) {
      ++result_.requests;
      const bool is_settled = now_ - start_ >= load_.burst_until + kSettleTime;
      result_.settled_requests += is_settled ? 1 : 0;
      const int zone = zones_ > 1 ? ChooseZone() : 0;
      Send({zone, now_, load_.caller_retries, is_settled});
    }
  }

  // Sends the first or next attempt of a caller.
  void Send(const waiting_caller& caller) {
    slot_request request;
    request.key = {"10.0.0.1:7000", next_number_++};
    request.work_class = "lookup";
    request.availability_zone = ZoneName(caller.zone);
    request.may_repeat = load_.may_repeat;
    request.max_attempts = 2;
    request.goal = load_.goal;
    request.arrival = now_;
    request.deadline = std::min(now_ + load_.deadline,
                                caller.arrived_at + load_.caller_timeout);
    callers_[request.key] = caller;
    arrivals_[request.key] = now_;
    scheduler_->Submit(request, now_);
  }

  void SendScheduledRetries() {
    while (!scheduled_retries_.empty() &&
           scheduled_retries_.begin()->first <= now_) {
      const waiting_caller caller = scheduled_retries_.begin()->second;
      scheduled_retries_.erase(scheduled_retries_.begin());
      Send(caller);
    }
  }

  void OnGrant(const slot_grant& grant) {
    const virtual_endpoint& endpoint = endpoints_.at(grant.endpoint.id);
    const auto caller = callers_.find(grant.request);
    if (caller != callers_.end())
      CountGrant(caller->second.zone, endpoint.zone);
    in_transit_.emplace_back(now_ + load_.network_delay, grant);
    if (load_.network_delay == time_span(0))
      DeliverGrants();
  }

  void CountGrant(int home, int zone) {
    if (home == zone) {
      ++result_.home_grants;
      return;
    }
    ++result_.other_grants;
    const int second =
        static_cast<int>((now_ - start_) / std::chrono::seconds(1));
    ++result_.crossings[{second, home, zone}];
  }

  void DeliverGrants() {
    while (!in_transit_.empty() && in_transit_.front().first <= now_) {
      const slot_grant grant = in_transit_.front().second;
      in_transit_.pop_front();
      if (arrivals_.count(grant.request) > 0)
        StartWork(grant);
    }
  }

  void StartWork(const slot_grant& grant) {
    virtual_endpoint& endpoint = endpoints_.at(grant.endpoint.id);
    result_.slot_overruns +=
        endpoint.running.size() >=
                static_cast<std::size_t>(endpoint.entry.slots)
            ? 1
            : 0;
    double work = ToMilliseconds(load_.work) * (0.7 + 0.6 * Uniform());
    if (load_.is_speed_fixed_at_start)
      work /= CurrentSpeed(endpoint, endpoint.running.size() + 1);
    // The path to another zone and back occupies the slot as well.
    work += 2 * ToMilliseconds(
                    PathDelay(callers_.at(grant.request).zone, endpoint));
    endpoint.running.push_back({grant.request, grant.attempt, work});
  }

  void OnReject(const slot_rejection& rejection) {
    const auto found = arrivals_.find(rejection.request);
    if (found == arrivals_.end())
      return;
    result_.without_retry_after +=
        rejection.retry_after <= time_span(0) ? 1 : 0;
    result_.longest_hold =
        std::max<time_span>(result_.longest_hold, now_ - found->second);
    arrivals_.erase(found);
    waiting_caller caller = callers_.at(rejection.request);
    callers_.erase(rejection.request);
    const monotonic_time returns_at = now_ + rejection.retry_after;
    const bool gives_up =
        caller.retries_left == 0 ||
        returns_at >= caller.arrived_at + load_.caller_timeout;
    if (gives_up) {
      ++result_.refused;
      return;
    }
    --caller.retries_left;
    scheduled_retries_.emplace(returns_at, caller);
  }

  double CurrentSlowdown(const virtual_endpoint& endpoint) const {
    return endpoint.is_slow ? load_.slow_factor : 1;
  }

  // Speed of each attempt when `running` attempts run on the endpoint.
  double CurrentSpeed(const virtual_endpoint& endpoint,
                      std::size_t running) const {
    const double speed = 1 / CurrentSlowdown(endpoint);
    // The deployments state contention above 0.8 of the slots.
    const bool is_contended =
        static_cast<double>(running) > 0.8 * load_.slots && running > 1;
    return is_contended ? speed / load_.contention_factor : speed;
  }

  void AdvanceWork(virtual_endpoint& endpoint) {
    if (now_ >= endpoint.phase_ends) {
      endpoint.is_slow = Uniform() < load_.slow_share;
      endpoint.phase_ends = now_ + load_.phase_length;
    }
    const double speed = load_.is_speed_fixed_at_start
                             ? 1
                             : CurrentSpeed(endpoint, endpoint.running.size());
    std::vector<running_work> ended;
    for (running_work& each : endpoint.running)
      each.remaining_ms -= speed * ToMilliseconds(kStep);
    for (auto each = endpoint.running.begin();
         each != endpoint.running.end();) {
      if (each->remaining_ms > 0) {
        ++each;
        continue;
      }
      ended.push_back(*each);
      each = endpoint.running.erase(each);
    }
    for (const running_work& each : ended)
      Answer(endpoint, each);
  }

  void Answer(const virtual_endpoint& endpoint, const running_work& work) {
    const auto found = arrivals_.find(work.request);
    if (found != arrivals_.end()) {
      const waiting_caller& caller = callers_.at(work.request);
      const bool is_timely = now_ - caller.arrived_at <= load_.goal;
      ++(is_timely ? result_.timely : result_.late);
      result_.settled_timely += is_timely && caller.is_settled ? 1 : 0;
      callers_.erase(work.request);
      arrivals_.erase(found);
    }
    // Other attempts of the request are cancelled.
    for (auto& [id, other] : endpoints_) {
      other.running.erase(
          std::remove_if(other.running.begin(), other.running.end(),
                         [&work](const running_work& each) {
                           return each.request == work.request;
                         }),
          other.running.end());
    }
    scheduler_->Report(work.request, work.attempt, attempt_outcome::kAnswered,
                       ReportedLoad(endpoint), now_);
  }

  endpoint_load ReportedLoad(const virtual_endpoint& endpoint) const {
    return {static_cast<int>(endpoint.running.size()), 0, endpoint.entry.slots,
            load_.reports_slowdown ? CurrentSlowdown(endpoint) : 1};
  }

  void AnswerProbes() {
    std::vector<std::string> due;
    while (!probes_.empty() && probes_.front().first <= now_) {
      due.push_back(probes_.front().second);
      probes_.erase(probes_.begin());
    }
    for (const std::string& id : due)
      scheduler_->ReportProbe(id, ReportedLoad(endpoints_.at(id)), now_);
  }

  const scheduler_load load_;
  std::mt19937_64 generator_;
  std::unique_ptr<slot_scheduler> scheduler_;
  std::map<std::string, virtual_endpoint> endpoints_;
  // Arrival times of the requests that have not ended.
  std::map<request_key, monotonic_time> arrivals_;
  std::map<request_key, waiting_caller> callers_;
  std::multimap<monotonic_time, waiting_caller> scheduled_retries_;
  std::vector<std::pair<monotonic_time, std::string>> probes_;
  std::deque<std::pair<monotonic_time, slot_grant>> in_transit_;
  std::uint64_t next_number_ = 1;
  int zones_ = 1;
  bool was_zone_lost_ = false;
  monotonic_time now_;
  const monotonic_time start_ = now_;
  scheduler_result result_;
};

}  // namespace

scheduler_result RunLoad(const scheduler_load& load) {
  return load_simulation(load).Run();
}

}  // namespace papayakeel
