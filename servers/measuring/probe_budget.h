// Limits the server time that this process spends on probes of one service's
// endpoints. Each process has a static share of the budget, which bounds the
// total over all entry VMs without coordination between them.
#ifndef SERVERS_MEASURING_PROBE_BUDGET_H_
#define SERVERS_MEASURING_PROBE_BUDGET_H_

#include <map>
#include <optional>
#include <set>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "core/token_bucket.h"

namespace papayakeel {

struct probe_budget_settings {
  // Server time per endpoint per second, summed over all entry VMs.
  time_span budget_per_second = std::chrono::milliseconds(12);
  time_span probe_cost = std::chrono::milliseconds(6);  // Server time.
  int entry_vm_limit = 16;  // Maximum concurrent entry VMs; >= 1.
};

class probe_budget {
 public:
  explicit probe_budget(probe_budget_settings settings);

  void Configure(probe_budget_settings settings, monotonic_time now);

  // Replaces the set of endpoints that may be probed. A new endpoint starts
  // with an empty token bucket.
  void SetEndpoints(const std::set<network_address>& endpoints,
                    monotonic_time now);

  // Records that the configuration service or a peer confirmed the bundle in
  // force.
  void ConfirmBundle(monotonic_time now);

  // Adds the tokens accrued since the last call. A gap of more than 1 s between
  // two calls empties all token buckets.
  void Tick(monotonic_time now);

  // Takes the cost of one probe. Returns false when the endpoint's token bucket
  // does not cover the cost or the bundle was not confirmed within the last
  // 10 s.
  bool TryTake(const network_address& endpoint, monotonic_time now);

  // Server time spent on probes since this object was created.
  time_span spent() const { return spent_; }
  // Server time per second that this process may spend on all endpoints.
  time_span allowed_per_second() const;

 private:
  // Server milliseconds per second that this process may spend on one endpoint.
  double RatePerProcess() const;

  probe_budget_settings settings_;
  std::optional<monotonic_time> confirmed_at_;
  // Tokens are server milliseconds; the capacity is the cost of one probe.
  std::map<network_address, token_bucket> buckets_;
  time_span spent_{0};
};

}  // namespace papayakeel

#endif  // SERVERS_MEASURING_PROBE_BUDGET_H_
