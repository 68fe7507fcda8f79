// Per-endpoint token buckets and the conditions for taking tokens from them.
#include "servers/measuring/probe_budget.h"

#include <algorithm>
#include <iterator>

namespace papayakeel {

namespace {

// A longer gap between two calls means that the process was paused. Another
// process may have replaced it meanwhile and spent the same share of the
// budget.
constexpr time_span kMaxAccrualGap = std::chrono::seconds(1);

// The budget may have been lowered since a bundle was last confirmed.
constexpr time_span kMaxConfirmationAge = std::chrono::seconds(10);

}  // namespace

probe_budget::probe_budget(probe_budget_settings settings)
    : settings_(settings) {}

void probe_budget::Configure(probe_budget_settings settings,
                             monotonic_time now) {
  settings_ = settings;
  for (auto& [endpoint, bucket] : buckets_) {
    bucket.Configure(RatePerProcess(), ToMilliseconds(settings_.probe_cost),
                     now);
  }
}

void probe_budget::SetEndpoints(const std::set<network_address>& endpoints,
                                monotonic_time now) {
  for (auto each = buckets_.begin(); each != buckets_.end();) {
    const bool is_removed = endpoints.count(each->first) == 0;
    each = is_removed ? buckets_.erase(each) : std::next(each);
  }
  for (const network_address& endpoint : endpoints) {
    const auto [added, is_new] = buckets_.try_emplace(
        endpoint, RatePerProcess(), ToMilliseconds(settings_.probe_cost),
        kMaxAccrualGap);
    if (is_new)
      added->second.Accrue(now);
  }
}

void probe_budget::ConfirmBundle(monotonic_time now) {
  confirmed_at_ = now;
}

void probe_budget::Tick(monotonic_time now) {
  for (auto& [endpoint, bucket] : buckets_)
    bucket.Accrue(now);
}

bool probe_budget::TryTake(const network_address& endpoint,
                           monotonic_time now) {
  const auto found = buckets_.find(endpoint);
  if (found == buckets_.end())
    return false;
  const bool is_confirmed =
      confirmed_at_ && now - *confirmed_at_ <= kMaxConfirmationAge;
  if (!is_confirmed) {
    found->second.Accrue(now);
    return false;
  }
  if (!found->second.TryTake(ToMilliseconds(settings_.probe_cost), now))
    return false;
  spent_ += settings_.probe_cost;
  return true;
}

time_span probe_budget::allowed_per_second() const {
  return FromMilliseconds(RatePerProcess() *
                          static_cast<double>(buckets_.size()));
}

double probe_budget::RatePerProcess() const {
  return ToMilliseconds(settings_.budget_per_second) /
         std::max(settings_.entry_vm_limit, 1);
}

}  // namespace papayakeel
