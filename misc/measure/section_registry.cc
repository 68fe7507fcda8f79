// Sections by name.
#include "misc/measure/section_registry.h"

#include <utility>

namespace papayakeel::measure {

void section_registry::Register(std::string name, section run) {
  sections_[std::move(name)] = std::move(run);
}

const section* section_registry::Find(std::string_view name) const {
  const auto found = sections_.find(name);
  return found == sections_.end() ? nullptr : &found->second;
}

std::vector<std::string> section_registry::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, run] : sections_)
    names.push_back(name);
  return names;
}

}  // namespace papayakeel::measure
