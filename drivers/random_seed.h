// Random number generator seeded by the operating system.
#ifndef DRIVERS_RANDOM_SEED_H_
#define DRIVERS_RANDOM_SEED_H_

#include "core/random_source.h"

namespace papayakeel {

// The generator is not cryptographically secure and must not be used for
// secrets.
random_source MakeSeededRandomSource();

}  // namespace papayakeel

#endif  // DRIVERS_RANDOM_SEED_H_
