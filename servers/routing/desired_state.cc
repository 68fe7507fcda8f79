// Names of the retry rules of routes.
#include "servers/routing/desired_state.h"

namespace papayakeel {

const char* ToString(repeat_rule rule) {
  switch (rule) {
    case repeat_rule::kIdempotent:
      return "idempotent";
    case repeat_rule::kOnceOnly:
      return "once_only";
    case repeat_rule::kUpload:
      return "upload";
  }
  return "unknown";
}

}  // namespace papayakeel
