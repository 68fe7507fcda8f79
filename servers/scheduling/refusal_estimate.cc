// Classification and counts of refusals.
#include "servers/scheduling/refusal_estimate.h"

#include <algorithm>

namespace papayakeel {

bool IsUnrelatedToLoad(attempt_outcome outcome,
                       const std::optional<endpoint_load>& load) {
  return outcome == attempt_outcome::kRejected && load &&
         load->running + load->waiting < load->slots;
}

void refusal_estimate::AddAttempt(attempt_outcome outcome,
                                  bool is_unrelated_to_load,
                                  monotonic_time now) {
  if (outcome == attempt_outcome::kCancelled ||
      outcome == attempt_outcome::kNotSent)
    return;
  attempts_.Add(now);
  if (outcome == attempt_outcome::kRejected)
    refusals_.Add(now);
  if (is_unrelated_to_load)
    unrelated_refusals_.Add(now);
}

double refusal_estimate::share(monotonic_time now) const {
  // One attempt more, so that the first refusal does not count as a share of 1.
  return unrelated_refusals_.Value(now) / (attempts_.Value(now) + 1);
}

bool refusal_estimate::AreMostUnrelatedToLoad(monotonic_time now) const {
  return unrelated_refusals_.Value(now) > 0.5 * refusals_.Value(now);
}

}  // namespace papayakeel
