// Names and meaning of the retry rules of routes.
#include "servers/routing/desired_state.h"

namespace papayakeel {

bool PermitsRepeats(repeat_rule rule) {
  switch (rule) {
    case repeat_rule::kIdempotent:
    case repeat_rule::kDownload:
      return true;
    case repeat_rule::kOnceOnly:
    case repeat_rule::kUpload:
      return false;
  }
  return false;
}

const char* ToString(repeat_rule rule) {
  switch (rule) {
    case repeat_rule::kIdempotent:
      return "idempotent";
    case repeat_rule::kOnceOnly:
      return "once_only";
    case repeat_rule::kUpload:
      return "upload";
    case repeat_rule::kDownload:
      return "download";
  }
  return "unknown";
}

}  // namespace papayakeel
