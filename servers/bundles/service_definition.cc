// Classification of requests by method and path.
#include "servers/bundles/service_definition.h"

#include <algorithm>

namespace papayakeel {

const work_class* service_definition::Classify(std::string_view method,
                                               std::string_view target) const {
  for (const work_class& each : classes) {
    const bool has_method = each.methods.empty() ||
                            std::find(each.methods.begin(), each.methods.end(),
                                      method) != each.methods.end();
    const bool has_prefix =
        target.substr(0, each.path_prefix.size()) == each.path_prefix;
    if (has_method && has_prefix)
      return &each;
  }
  return nullptr;
}

}  // namespace papayakeel
