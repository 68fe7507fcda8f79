// Repetition with std::clock.
#include "misc/measure/processor_time.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace papayakeel::measure {

namespace {

constexpr std::size_t kRepetitions = 5;
constexpr double kMinMicroseconds = 50'000;

double ProcessorMicroseconds() {
  return 1e6 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

}  // namespace

double MeasureMicroseconds(const std::function<void()>& body) {
  std::array<double, kRepetitions> per_call{};
  // The clock is read once a batch, which is doubled until it is long enough.
  long batch = 1;
  for (double& each : per_call) {
    for (;;) {
      const double start = ProcessorMicroseconds();
      for (long call = 0; call < batch; ++call)
        body();
      const double used = ProcessorMicroseconds() - start;
      each = used / static_cast<double>(batch);
      if (used >= kMinMicroseconds)
        break;
      batch *= 2;
    }
  }
  std::sort(per_call.begin(), per_call.end());
  return per_call[kRepetitions / 2];
}

}  // namespace papayakeel::measure
