// Randomness from the operating system.
#ifndef DRIVERS_RANDOM_SEED_H_
#define DRIVERS_RANDOM_SEED_H_

#include "core/random_source.h"

namespace papayakeel {

// Returns a generator seeded by the operating system. Not for secrets.
random_source MakeSeededRandomSource();

}  // namespace papayakeel

#endif  // DRIVERS_RANDOM_SEED_H_
