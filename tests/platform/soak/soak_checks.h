// The invariants of a run of the soak, checked on its record alone.
#ifndef TESTS_PLATFORM_SOAK_SOAK_CHECKS_H_
#define TESTS_PLATFORM_SOAK_SOAK_CHECKS_H_

#include <string>
#include <vector>

#include "tests/platform/soak/soak_record.h"

namespace papayakeel::platform {

// One line for each violation; empty when all invariants held.
// What a cold endpoint of the soak can handle, in requests per second.
constexpr double kSoakWarmUpRate = 3.7;

std::vector<std::string> FindViolations(const soak_record& record);

}  // namespace papayakeel::platform

#endif  // TESTS_PLATFORM_SOAK_SOAK_CHECKS_H_
