// Names and classification of attempt outcomes.
#include "servers/scheduling/attempt_outcome.h"

namespace papayakeel {

const char* ToString(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kAnswered:
      return "answered";
    case attempt_outcome::kServerError:
      return "server_error";
    case attempt_outcome::kRejected:
      return "rejected";
    case attempt_outcome::kUnreachable:
      return "unreachable";
    case attempt_outcome::kMisdirected:
      return "misdirected";
    case attempt_outcome::kBroken:
      return "broken";
    case attempt_outcome::kCancelled:
      return "cancelled";
    case attempt_outcome::kNotSent:
      return "not_sent";
  }
  return "unknown";
}

bool IsCertainlyNotRun(attempt_outcome outcome) {
  return outcome == attempt_outcome::kRejected ||
         outcome == attempt_outcome::kUnreachable ||
         outcome == attempt_outcome::kNotSent ||
         outcome == attempt_outcome::kMisdirected;
}

}  // namespace papayakeel
