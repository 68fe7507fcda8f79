// What callers, endpoints and the injector of faults saw in a run of the soak.
#ifndef TESTS_PLATFORM_SOAK_SOAK_RECORD_H_
#define TESTS_PLATFORM_SOAK_SOAK_RECORD_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/monotonic_time.h"
#include "tests/platform/soak/fault_plan.h"

namespace papayakeel::platform {

// One request of a caller and what came back.
struct call_record {
  std::string id;
  std::size_t vm = 0;
  int boot = 0;           // Number of the start of the VM's process.
  int state_version = 0;  // That added the route; 0: it always exists.
  bool is_once_only = false;
  bool is_reused = false;  // Sent on a connection that had carried others.
  monotonic_time sent_at;
  monotonic_time ended_at;
  int status = 0;             // 0: no complete answer.
  bool is_own_answer = true;  // Of an answer 200: body, id and proof fit.
  int runs = 0;               // By the endpoints, once the run has ended.
};

struct fault_record {
  soak_fault kind = soak_fault::kKillVm;
  std::optional<std::size_t> vm;  // Nothing: all of them.
  monotonic_time from;
  monotonic_time to;
};

// A desired state that the store has accepted.
struct state_record {
  int version = 0;
  monotonic_time accepted_at;
};

// An endpoint that told the store that it leaves.
struct leaving_record {
  std::size_t endpoint = 0;
  monotonic_time accepted_at;
  std::optional<monotonic_time> last_arrival;
  std::vector<monotonic_time> arrivals;  // Until it returned.
};

// An endpoint that is in service at the end of the run, when callers press.
struct serving_record {
  std::size_t endpoint = 0;
  monotonic_time accepted_at;  // When the store last accepted that it serves.
  std::vector<monotonic_time> arrivals;
};

// A time in which the endpoints of a zone may get nothing, or little.
struct zone_record {
  monotonic_time accepted_at;
  monotonic_time ended_at;
  std::vector<std::vector<monotonic_time>> arrivals;  // By endpoint.
};

struct soak_record {
  std::vector<call_record> calls;
  std::vector<fault_record> faults;
  std::vector<state_record> states;
  std::vector<leaving_record> leaving;
  std::vector<serving_record> serving;
  std::vector<zone_record> evacuations;
  std::vector<zone_record> cold_zones;
  // A line for each process that ended although nobody told it to.
  std::vector<std::string> unrequested_ends;
  // When callers began to press, if they did, and when all stopped.
  std::optional<monotonic_time> pressed_from;
  monotonic_time stopped_at;
};

}  // namespace papayakeel::platform

#endif  // TESTS_PLATFORM_SOAK_SOAK_RECORD_H_
