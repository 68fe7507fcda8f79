// Cost and speed of membership by size of the fleet, under virtual time.
#ifndef MISC_MEASURE_MEMBERSHIP_SECTION_H_
#define MISC_MEASURE_MEMBERSHIP_SECTION_H_

#include <cstdint>
#include <cstdio>

namespace papayakeel {

// Writes one line for each size and load to `output`.
void MeasureMembership(std::FILE* output, std::uint64_t seed);

}  // namespace papayakeel

#endif  // MISC_MEASURE_MEMBERSHIP_SECTION_H_
