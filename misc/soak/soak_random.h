// Randomness of a soak run; everything follows from the seed.
#ifndef MISC_SOAK_SOAK_RANDOM_H_
#define MISC_SOAK_SOAK_RANDOM_H_

#include <cmath>
#include <cstdint>
#include <random>

#include "core/monotonic_time.h"
#include "core/random_source.h"

namespace papayakeel::soak {

class soak_random {
 public:
  explicit soak_random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Next() { return engine_(); }

  // Returns a value in [0, bound).
  std::size_t Below(std::size_t bound) { return engine_() % bound; }

  bool Chance(double probability) { return Unit() < probability; }

  time_span Between(time_span low, time_span high) {
    return low + FromMilliseconds(Unit() * ToMilliseconds(high - low));
  }

  time_span Exponential(time_span mean) {
    return FromMilliseconds(-std::log(1 - Unit()) * ToMilliseconds(mean));
  }

  random_source Source() {
    return [this] { return Next(); };
  }

 private:
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

  std::mt19937_64 engine_;
};

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_SOAK_RANDOM_H_
