// Endpoint selection by expected completion time.
#include "servers/dispatch/endpoint_table.h"

#include <algorithm>
#include <utility>

namespace papayakeel {

namespace {

// A call waits instead of using a free slot that is expected to be this many
// times slower than a slot that is about to become free. Estimates are noisy:
// with 1.5, healthy endpoints stay idle and the p99 latency of the steady
// scenario is 50% higher.
constexpr double kBaseSlowdownLimit = 4;

// Cost factor of the endpoint on which the previous attempt failed, which makes
// a retry prefer other endpoints.
constexpr double kFailedEndpointCostFactor = 3;

// Cost added for occupied slots. Preferring idle endpoints reduces the number
// of calls on a straggler when it is detected.
constexpr double kOccupancyCostFactor = 0.25;

}  // namespace

const char* ToString(endpoint_verdict verdict) {
  switch (verdict) {
    case endpoint_verdict::kFree:
      return "free";
    case endpoint_verdict::kTrial:
      return "test_after_ejection";
    case endpoint_verdict::kUnlisted:
      return "unlisted";
    case endpoint_verdict::kLeaving:
      return "leaving";
    case endpoint_verdict::kZoneExcluded:
      return "zone_excluded";
    case endpoint_verdict::kEjected:
      return "ejected";
    case endpoint_verdict::kNoFreeSlot:
      return "no_free_slot";
    case endpoint_verdict::kSuspected:
      return "suspected";
    case endpoint_verdict::kAlreadyRunning:
      return "runs_on_it";
  }
  return "unknown";
}

void endpoint_table::Configure(int slots,
                               std::map<std::string, double> zone_weights) {
  slots_ = slots;
  zone_weights_ = std::move(zone_weights);
}

void endpoint_table::Set(const std::vector<endpoint_info>& endpoints,
                         monotonic_time now) {
  for (auto& [address, record] : records_)
    record.MarkUnlisted();
  for (const endpoint_info& info : endpoints) {
    const auto [entry, is_new] =
        records_.try_emplace(info.address, next_id_, info);
    if (is_new) {
      ++next_id_;
    } else {
      entry->second.Update(info);
    }
  }
  Prune(now);
}

void endpoint_table::Prune(monotonic_time now) {
  for (auto each = records_.begin(); each != records_.end();) {
    const bool is_unused = !each->second.is_listed() &&
                           each->second.in_flight() == 0 &&
                           !each->second.IsMarkedLeaving(now);
    each = is_unused ? records_.erase(each) : std::next(each);
  }
}

endpoint_record* endpoint_table::Find(const network_address& address) {
  const auto found = records_.find(address);
  return found == records_.end() ? nullptr : &found->second;
}

endpoint_record* endpoint_table::FindById(std::uint64_t id) {
  for (auto& [address, record] : records_) {
    if (record.id() == id)
      return &record;
  }
  return nullptr;
}

placement endpoint_table::Choose(placement_request request,
                                 const random_source& random,
                                 monotonic_time now) {
  request.slowdown_limit = SlowdownLimit(request.waiting, now);
  placement best;
  double best_cost = 0;
  std::uint64_t best_tie = 0;
  for (auto& [address, record] : records_) {
    const endpoint_verdict verdict = Assess(record, request, now);
    if (verdict == endpoint_verdict::kTrial) {
      // A due trial takes precedence, because an ejected endpoint would never
      // have the lowest cost.
      return {&record, true, false};
    }
    best.has_slow_free_slot |= verdict == endpoint_verdict::kSuspected;
    if (verdict != endpoint_verdict::kFree)
      continue;
    double cost = Cost(record, now);
    if (record.id() == request.last_endpoint)
      cost *= kFailedEndpointCostFactor;
    const std::uint64_t tie = random();
    const bool is_better = best.endpoint == nullptr || cost < best_cost ||
                           (cost <= best_cost && tie < best_tie);
    if (is_better) {
      best.endpoint = &record;
      best_cost = cost;
      best_tie = tie;
    }
  }
  return best;
}

endpoint_verdict endpoint_table::Assess(const endpoint_record& endpoint,
                                        const placement_request& request,
                                        monotonic_time now) const {
  if (!endpoint.is_listed())
    return endpoint_verdict::kUnlisted;
  if (endpoint.IsLeaving(now))
    return endpoint_verdict::kLeaving;
  if (WeightOf(endpoint) <= 0)
    return endpoint_verdict::kZoneExcluded;
  if (endpoint.is_ejected()) {
    const bool is_trial =
        request.may_run_trial && !request.is_hedge && endpoint.IsTrialDue(now);
    return is_trial ? endpoint_verdict::kTrial : endpoint_verdict::kEjected;
  }
  const bool is_already_running =
      std::find(request.running_on.begin(), request.running_on.end(),
                endpoint.id()) != request.running_on.end();
  if (is_already_running)
    return endpoint_verdict::kAlreadyRunning;
  if (endpoint.FreeSlots(slots_, now) <= 0)
    return endpoint_verdict::kNoFreeSlot;
  const bool is_too_slow =
      endpoint.ExpectedSlowdown(now) > request.slowdown_limit ||
      (request.is_hedge && endpoint.IsSuspected(now));
  if (is_too_slow)
    return endpoint_verdict::kSuspected;
  return endpoint_verdict::kFree;
}

double endpoint_table::Cost(const endpoint_record& endpoint,
                            monotonic_time now) const {
  const double busy = endpoint.in_flight() + endpoint.HeldSlots(now);
  return endpoint.ExpectedSlowdown(now) *
         (1 + kOccupancyCostFactor * busy / std::max(slots_, 1)) /
         WeightOf(endpoint);
}

double endpoint_table::SlowdownLimit(std::size_t waiting,
                                     monotonic_time now) const {
  int busy = 0;
  int total = 0;
  for (const auto& [address, record] : records_) {
    if (!IsUsable(record, now) || record.is_ejected())
      continue;
    total += slots_;
    if (!record.IsSuspected(now))
      busy += record.in_flight();
  }
  // No healthy endpoint has a running call, so no slot will become free soon.
  if (busy == 0)
    return 1e9;
  // A long queue raises the limit, because the slots of slow endpoints are
  // needed too.
  const double queued_calls_per_slot =
      static_cast<double>(waiting) / std::max(total, 1);
  return (kBaseSlowdownLimit + queued_calls_per_slot) * (1 + 1.0 / busy);
}

bool endpoint_table::HasUsableEndpoint(monotonic_time now) const {
  return std::any_of(records_.begin(), records_.end(), [&](const auto& entry) {
    return IsUsable(entry.second, now);
  });
}

double endpoint_table::UsableSlots(monotonic_time now) const {
  double total = 0;
  for (const auto& [address, record] : records_) {
    if (IsUsable(record, now) && !record.is_ejected())
      total += slots_ / std::max(record.ExpectedSlowdown(now), 1.0);
  }
  return total;
}

bool endpoint_table::HasFreeSlot(monotonic_time now) const {
  return std::any_of(records_.begin(), records_.end(), [&](const auto& entry) {
    return IsUsable(entry.second, now) &&
           entry.second.FreeSlots(slots_, now) > 0;
  });
}

bool endpoint_table::MayEject(monotonic_time now) const {
  int usable = 0;
  int ejected = 0;
  for (const auto& [address, record] : records_) {
    if (!IsUsable(record, now))
      continue;
    ++usable;
    ejected += record.is_ejected() ? 1 : 0;
  }
  return 2 * (ejected + 1) <= usable;
}

bool endpoint_table::HasEjectedEndpoint() const {
  return std::any_of(records_.begin(), records_.end(), [](const auto& entry) {
    return entry.second.is_ejected();
  });
}

double endpoint_table::WeightOf(const endpoint_record& endpoint) const {
  const auto found = zone_weights_.find(endpoint.info().availability_zone);
  return found == zone_weights_.end() ? 1 : found->second;
}

bool endpoint_table::IsUsable(const endpoint_record& endpoint,
                              monotonic_time now) const {
  return endpoint.is_listed() && !endpoint.IsLeaving(now) &&
         WeightOf(endpoint) > 0;
}

}  // namespace papayakeel
