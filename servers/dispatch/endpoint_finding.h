// State of an endpoint that one entry VM observed and shares with the others,
// which saves them a measurement. It is advisory: a receiver ignores it when
// its own calls gave contradicting results more recently.
#ifndef SERVERS_DISPATCH_ENDPOINT_FINDING_H_
#define SERVERS_DISPATCH_ENDPOINT_FINDING_H_

#include <string>

#include "core/monotonic_time.h"
#include "core/network_address.h"

namespace papayakeel {

enum class finding_kind {
  kHealthy,  // A probe or call after an ejection succeeded.
  kSuspect,  // Calls take far longer than on other endpoints.
  kEjected,  // Calls fail.
  kLeaving,  // The server signalled that it is draining.
};

struct endpoint_finding {
  std::string service;
  network_address endpoint;
  finding_kind kind = finding_kind::kHealthy;
  time_span age{0};  // Time since the observation.
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_ENDPOINT_FINDING_H_
