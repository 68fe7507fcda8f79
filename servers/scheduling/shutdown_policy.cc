// Phases of the grace period.
#include "servers/scheduling/shutdown_policy.h"

namespace papayakeel {

namespace {

// A draining process accepts connections for this fraction of its grace period,
// because callers may still use cached addresses.
constexpr double kAcceptGraceFraction = 0.6;

// Before the end of the grace period, so that the last answers reach callers
// before the process is killed.
constexpr time_span kAnswerAllMargin = std::chrono::milliseconds(300);
constexpr time_span kExitMargin = std::chrono::milliseconds(150);

// Between the time limit of a request and the last moment of an answer to it.
constexpr time_span kAnswerMargin = std::chrono::milliseconds(200);

}  // namespace

shutdown_policy::shutdown_policy(time_span grace) : grace_(grace) {}

void shutdown_policy::Begin(monotonic_time now) {
  if (!started_at_)
    started_at_ = now;
}

bool shutdown_policy::MayPassOn(monotonic_time deadline) const {
  return !started_at_ ||
         deadline + kAnswerMargin <= *started_at_ + grace_ - kAnswerAllMargin;
}

bool shutdown_policy::ShouldStopAccepting(monotonic_time now) const {
  return HasElapsed(now, std::chrono::duration_cast<time_span>(
                             grace_ * kAcceptGraceFraction));
}

bool shutdown_policy::MustAnswerAll(monotonic_time now) const {
  return HasElapsed(now, grace_ - kAnswerAllMargin);
}

bool shutdown_policy::MustExit(monotonic_time now) const {
  return HasElapsed(now, grace_ - kExitMargin);
}

bool shutdown_policy::HasElapsed(monotonic_time now, time_span span) const {
  return started_at_ && now - *started_at_ >= span;
}

}  // namespace papayakeel
