// Decides which requests get repeats while the repeat budget is short. A caller
// that can still try again needs no repeat; a repeat for a caller that cannot
// serves more callers.
#ifndef SERVERS_SCHEDULING_REPEAT_ALLOCATION_H_
#define SERVERS_SCHEDULING_REPEAT_ALLOCATION_H_

#include <map>
#include <utility>

#include "core/decaying_count.h"
#include "core/monotonic_time.h"

namespace papayakeel {

// Wish to repeat a request whose attempt failed.
struct repeat_claim {
  // The caller has tried before, or it is not known who has (return_estimate).
  bool is_last_chance = false;
  int importance = 0;  // 0 is the highest importance.
  // Share of the attempts of the service that are refused. If the claim is not
  // admitted, its caller returns and fails again with this probability.
  double refused_share = 0;
};

// Repeats that the budget allows.
struct repeat_budget {
  double left = 0;       // Now.
  double allowance = 0;  // In a whole window.
  time_span window{0};
};

class repeat_allocation {
 public:
  // Counts the claim and returns whether it may use the budget.
  bool Admit(const repeat_claim& claim,
             const repeat_budget& budget,
             monotonic_time now);
  // Whether a hedge may use the budget. It takes no precedence over any claim.
  bool MayHedge(const repeat_budget& budget, monotonic_time now) const;

 private:
  // Claims with a smaller rank take precedence: by importance, and last chances
  // before others of the same importance. Otherwise a kind whose callers try
  // again more often would be served more than a more important one.
  using claim_rank = std::pair<int, int>;
  using rank_counts = std::map<claim_rank, decaying_count>;

  // Repeats to keep for the claims in `claims_` before `end`. Their rate is
  // taken to be at least `min_rate`, per second.
  double Reserve(rank_counts::const_iterator end,
                 const repeat_budget& budget,
                 double min_rate,
                 monotonic_time now) const;

  rank_counts claims_;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_REPEAT_ALLOCATION_H_
