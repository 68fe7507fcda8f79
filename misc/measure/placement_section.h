// Section placement: processor time of address lookups and of the partition of
// endpoints.
#ifndef MISC_MEASURE_PLACEMENT_SECTION_H_
#define MISC_MEASURE_PLACEMENT_SECTION_H_

#include "misc/measure/section_registry.h"

namespace papayakeel::measure {

void RegisterPlacementSection(section_registry& registry);

}  // namespace papayakeel::measure

#endif  // MISC_MEASURE_PLACEMENT_SECTION_H_
