// Section dispatch: processor time per call and memory per endpoint of a
// dispatcher.
#ifndef MISC_MEASURE_DISPATCH_SECTION_H_
#define MISC_MEASURE_DISPATCH_SECTION_H_

#include "misc/measure/section_registry.h"

namespace papayakeel::measure {

void RegisterDispatchSection(section_registry& registry);

}  // namespace papayakeel::measure

#endif  // MISC_MEASURE_DISPATCH_SECTION_H_
