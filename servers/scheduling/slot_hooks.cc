// Names of rejection reasons.
#include "servers/scheduling/slot_hooks.h"

namespace papayakeel {

const char* ToString(slot_refusal reason) {
  switch (reason) {
    case slot_refusal::kNoEndpoint:
      return "no_endpoint";
    case slot_refusal::kOverload:
      return "overload";
    case slot_refusal::kDeadline:
      return "deadline";
    case slot_refusal::kAttemptsFailed:
      return "attempts_failed";
  }
  return "unknown";
}

}  // namespace papayakeel
