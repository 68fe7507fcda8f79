// Names of settings error codes.
#include "servers/settings/settings_error.h"

namespace papayakeel {

const char* ToString(settings_error_code code) {
  switch (code) {
    case settings_error_code::kUnreadable:
      return "unreadable";
    case settings_error_code::kSyntax:
      return "syntax";
    case settings_error_code::kUnknownKey:
      return "unknown_key";
    case settings_error_code::kMissingKey:
      return "missing_key";
    case settings_error_code::kBadType:
      return "bad_type";
    case settings_error_code::kBadValue:
      return "bad_value";
    case settings_error_code::kDuplicate:
      return "duplicate";
    case settings_error_code::kContradiction:
      return "contradiction";
  }
  return "unknown";
}

}  // namespace papayakeel
