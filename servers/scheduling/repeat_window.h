// The budget for repeats of a service: attempts beyond the first of a request,
// in any sliding window. Each owner of a service counts only requests that it
// has seen itself and starts with none, so the budget holds in sum over all
// owners, also over restarts, pauses and partitions.
#ifndef SERVERS_SCHEDULING_REPEAT_WINDOW_H_
#define SERVERS_SCHEDULING_REPEAT_WINDOW_H_

#include <deque>

#include "core/monotonic_time.h"

namespace papayakeel {

struct repeat_window_settings {
  double ratio = 0;     // Repeats allowed for each request.
  time_span window{0};  // Length of the sliding window.
  double slack = 0;     // Repeats allowed besides, in each window.
};

class repeat_window {
 public:
  explicit repeat_window(repeat_window_settings settings);

  void Configure(repeat_window_settings settings) { settings_ = settings; }
  void CountRequest(monotonic_time now);
  // Whether one more repeat is within the budget.
  bool CanRepeat(monotonic_time now);
  void CountRepeat(monotonic_time now);

  int requests() const { return requests_; }
  int repeats() const { return repeats_; }

 private:
  struct bucket {
    monotonic_time start;
    int requests = 0;
    int repeats = 0;
  };

  bucket& Current(monotonic_time now);
  void Expire(monotonic_time now);

  repeat_window_settings settings_;
  std::deque<bucket> buckets_;  // Oldest first, all within the window.
  int requests_ = 0;            // Sums over buckets_.
  int repeats_ = 0;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_REPEAT_WINDOW_H_
