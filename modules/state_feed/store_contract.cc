// Names of store errors for logs.
#include "modules/state_feed/store_contract.h"

namespace papayakeel {

const char* ToString(store_error_code code) {
  switch (code) {
    case store_error_code::kMalformed:
      return "malformed";
    case store_error_code::kHistoryGone:
      return "history_gone";
    case store_error_code::kRefused:
      return "refused";
  }
  return "unknown";
}

}  // namespace papayakeel
