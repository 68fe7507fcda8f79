// What one entry VM does from its start until it is ready, when a whole fleet
// starts at once.
#ifndef MISC_MEASURE_FLEET_START_SECTION_H_
#define MISC_MEASURE_FLEET_START_SECTION_H_

#include "misc/measure/section_registry.h"

namespace papayakeel::measure {

void RegisterFleetStartSection(section_registry& registry);

}  // namespace papayakeel::measure

#endif  // MISC_MEASURE_FLEET_START_SECTION_H_
