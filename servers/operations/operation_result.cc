// Names of operation outcomes.
#include "servers/operations/operation_result.h"

namespace papayakeel {

const char* ToString(operation_outcome outcome) {
  switch (outcome) {
    case operation_outcome::kAnswered:
      return "answered";
    case operation_outcome::kNotRun:
      return "not_run";
    case operation_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace papayakeel
