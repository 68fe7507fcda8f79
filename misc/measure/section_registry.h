// The sections of papayakeel_measure by name. A section lies in a file pair of
// its own with one function RegisterXxxSection(section_registry&), which main
// calls.
#ifndef MISC_MEASURE_SECTION_REGISTRY_H_
#define MISC_MEASURE_SECTION_REGISTRY_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "misc/measure/measurement.h"

namespace papayakeel::measure {

using section = std::function<std::vector<measurement>()>;

class section_registry {
 public:
  // Names are unique; a second section of the same name replaces the first.
  void Register(std::string name, section run);

  // Returns the section, or nullptr when there is none of this name.
  const section* Find(std::string_view name) const;

  std::vector<std::string> Names() const;

 private:
  std::map<std::string, section, std::less<>> sections_;
};

}  // namespace papayakeel::measure

#endif  // MISC_MEASURE_SECTION_REGISTRY_H_
