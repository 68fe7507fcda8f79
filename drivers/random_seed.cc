// Seeding of the random number generator.
#include "drivers/random_seed.h"

#include <memory>
#include <random>

namespace papayakeel {

random_source MakeSeededRandomSource() {
  std::random_device device;
  const std::uint64_t high = device();
  const std::uint64_t low = device();
  const std::shared_ptr<std::mt19937_64> generator =
      std::make_shared<std::mt19937_64>(high << 32 | low);
  return [generator] { return (*generator)(); };
}

}  // namespace papayakeel
