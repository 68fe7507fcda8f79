// What a scheduler has learned from all endpoints of its service.
#ifndef SERVERS_SCHEDULING_SERVICE_PERFORMANCE_H_
#define SERVERS_SCHEDULING_SERVICE_PERFORMANCE_H_

#include "servers/scheduling/contention_model.h"
#include "servers/scheduling/straggler_detector.h"

namespace papayakeel {

struct service_performance {
  contention_model contention;
  straggler_baseline stragglers;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_SERVICE_PERFORMANCE_H_
