// Source of random numbers for decision code. It is passed in, which makes a
// run reproducible from its seed.
#ifndef CORE_RANDOM_SOURCE_H_
#define CORE_RANDOM_SOURCE_H_

#include <cstdint>
#include <functional>

namespace papayakeel {

// Returns uniformly distributed 64-bit values.
using random_source = std::function<std::uint64_t()>;

// Returns a uniformly distributed value in [0, 1).
inline double UniformUnit(const random_source& random) {
  return static_cast<double>(random() >> 11) * 0x1.0p-53;
}

}  // namespace papayakeel

#endif  // CORE_RANDOM_SOURCE_H_
