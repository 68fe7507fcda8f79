// Maximum of the stated limits, and counts of returns and failures.
#include "servers/scheduling/return_estimate.h"

#include <algorithm>

namespace papayakeel {

namespace {

// A first try states its limit in whole milliseconds and may state it a few
// milliseconds after the caller began to wait. A refusal reaches the caller
// later than this after its try.
constexpr time_span kTolerance = std::chrono::milliseconds(4);

// A maximum that no request has confirmed for two periods is forgotten, because
// callers may have been given a shorter limit.
constexpr time_span kMaximumPeriod = std::chrono::seconds(10);

// Returns of callers whose failed try another owner handled make the counts of
// one owner differ by chance.
constexpr double kMaxReturnsPerFailure = 2;
constexpr double kUnexplainedReturns = 20;

// Callers count as returning if at least this share of the failures is followed
// by a return, and until this many failures are known.
constexpr double kMinReturnShare = 0.25;
constexpr double kMinFailures = 20;

}  // namespace

bool return_estimate::AddRequest(std::optional<time_span> stated_limit,
                                 monotonic_time now) {
  if (!stated_limit)
    return false;
  UpdateMaximum(*stated_limit, now);
  const time_span maximum = std::max(current_maximum_, previous_maximum_);
  if (*stated_limit + kTolerance >= maximum)
    return false;
  returns_.Add(now);
  return IsReliable(now);
}

bool return_estimate::CanTellReturns(monotonic_time now) const {
  if (!IsReliable(now))
    return false;
  const double failures = failures_.Value(now);
  return failures < kMinFailures ||
         returns_.Value(now) >= kMinReturnShare * failures;
}

void return_estimate::UpdateMaximum(time_span stated_limit,
                                    monotonic_time now) {
  if (now - period_started_ >= kMaximumPeriod) {
    previous_maximum_ = current_maximum_;
    current_maximum_ = time_span(0);
    period_started_ = now;
  }
  current_maximum_ = std::max(current_maximum_, stated_limit);
}

bool return_estimate::IsReliable(monotonic_time now) const {
  return returns_.Value(now) <=
         kMaxReturnsPerFailure * failures_.Value(now) + kUnexplainedReturns;
}

}  // namespace papayakeel
