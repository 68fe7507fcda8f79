// Which requests an entry VM that has been told to stop still passes on to
// endpoints. Answers the load of callers that keep their open connections, or
// cached addresses, until the process has ended: a request that an endpoint
// could still be working on at the end of the grace period is refused as not
// run, so that its caller goes to another entry VM at once.
#ifndef SERVERS_SCHEDULING_SHUTDOWN_POLICY_H_
#define SERVERS_SCHEDULING_SHUTDOWN_POLICY_H_

#include <optional>

#include "core/monotonic_time.h"

namespace papayakeel {

class shutdown_policy {
 public:
  // `grace` is the time between the order to stop and the forced end.
  explicit shutdown_policy(time_span grace);

  // The order to stop was received at `now`. Later calls change nothing.
  void Begin(monotonic_time now);

  // Whether a request whose caller waits until `deadline` may be sent to an
  // endpoint. Always true before the shutdown begins.
  bool MayPassOn(monotonic_time deadline) const;

  // Each of the following is false before the shutdown begins.
  // Whether the entry VM should stop accepting connections.
  bool ShouldStopAccepting(monotonic_time now) const;
  // Whether requests that are still running must be answered now, without
  // their results.
  bool MustAnswerAll(monotonic_time now) const;
  // Whether the process must exit now.
  bool MustExit(monotonic_time now) const;

 private:
  bool HasElapsed(monotonic_time now, time_span span) const;

  const time_span grace_;
  std::optional<monotonic_time> started_at_;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_SHUTDOWN_POLICY_H_
