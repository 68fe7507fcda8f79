// Service lookup by name in a bundle.
#include "servers/bundles/bundle.h"

namespace papayakeel {

const service_definition* bundle::FindService(
    std::string_view service_name) const {
  for (const service_definition& each : services) {
    if (each.name == service_name)
      return &each;
  }
  return nullptr;
}

}  // namespace papayakeel
