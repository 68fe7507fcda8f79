// Sliding window that is stored as buckets of fixed length.
#include "servers/scheduling/repeat_window.h"

namespace papayakeel {

namespace {

// Resolution of the window. Repeats expire up to this late, which makes the
// budget stricter.
constexpr time_span kBucketLength = std::chrono::milliseconds(100);

// Usable share of the budget. Repeats are counted here when they are granted
// but at the service when they arrive, which can be in a different window.
constexpr double kUsableShare = 0.8;

}  // namespace

repeat_window::repeat_window(repeat_window_settings settings)
    : settings_(settings) {}

repeat_window::bucket& repeat_window::CurrentBucket(monotonic_time now) {
  Expire(now);
  if (buckets_.empty() || now - buckets_.back().start >= kBucketLength)
    buckets_.push_back({now, 0, 0});
  return buckets_.back();
}

void repeat_window::Expire(monotonic_time now) {
  while (!buckets_.empty() &&
         now - buckets_.front().start >= settings_.window + kBucketLength) {
    requests_ -= buckets_.front().requests;
    repeats_ -= buckets_.front().repeats;
    buckets_.pop_front();
  }
}

void repeat_window::CountRequest(monotonic_time now) {
  ++CurrentBucket(now).requests;
  ++requests_;
}

bool repeat_window::CanRepeat(monotonic_time now) {
  return left(now) >= 1;
}

double repeat_window::allowance() const {
  return kUsableShare * settings_.ratio * requests_ + settings_.slack;
}

double repeat_window::left(monotonic_time now) {
  Expire(now);
  return allowance() - repeats_;
}

void repeat_window::CountRepeat(monotonic_time now) {
  ++CurrentBucket(now).repeats;
  ++repeats_;
}

}  // namespace papayakeel
