// Section bundle: size of signed bundles, and processor time to check, sign,
// verify and accept them.
#ifndef MISC_MEASURE_BUNDLE_SECTION_H_
#define MISC_MEASURE_BUNDLE_SECTION_H_

#include "misc/measure/section_registry.h"

namespace papayakeel::measure {

void RegisterBundleSection(section_registry& registry);

}  // namespace papayakeel::measure

#endif  // MISC_MEASURE_BUNDLE_SECTION_H_
