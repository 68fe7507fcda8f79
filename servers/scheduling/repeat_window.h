// Retry budget of a service over a sliding window. A repeat is any attempt of a
// request after its first one: a retry or a hedge. Each owner of a service
// starts with an empty window and counts only the requests that it received.
// The budget therefore holds for all owners together, also across restarts,
// pauses and partitions.
#ifndef SERVERS_SCHEDULING_REPEAT_WINDOW_H_
#define SERVERS_SCHEDULING_REPEAT_WINDOW_H_

#include <deque>

#include "core/monotonic_time.h"

namespace papayakeel {

struct repeat_window_settings {
  double ratio = 0;     // Repeats allowed per request.
  time_span window{0};  // Length of the sliding window.
  double slack = 0;     // Additional repeats allowed in each window.
};

class repeat_window {
 public:
  explicit repeat_window(repeat_window_settings settings);

  void Configure(repeat_window_settings settings) { settings_ = settings; }
  void CountRequest(monotonic_time now);
  // Returns whether the budget allows one more repeat.
  bool CanRepeat(monotonic_time now);
  void CountRepeat(monotonic_time now);
  // Repeats that the budget allows in a window with the current requests, and
  // how many of them are left.
  double allowance() const;
  double left(monotonic_time now);
  time_span window() const { return settings_.window; }

  int requests() const { return requests_; }
  int repeats() const { return repeats_; }

 private:
  struct bucket {
    monotonic_time start;
    int requests = 0;
    int repeats = 0;
  };

  bucket& CurrentBucket(monotonic_time now);
  void Expire(monotonic_time now);

  repeat_window_settings settings_;
  std::deque<bucket> buckets_;  // Oldest first.
  int requests_ = 0;            // Sums over buckets_.
  int repeats_ = 0;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_REPEAT_WINDOW_H_
