// Scheduling data of a request: origin, urgency and permitted attempts.
#ifndef SERVERS_SCHEDULING_SLOT_REQUEST_H_
#define SERVERS_SCHEDULING_SLOT_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "core/monotonic_time.h"

namespace papayakeel {

// Identifies a request across all entry VMs.
struct request_key {
  std::string entry_vm;      // Peer address of the entry VM with the request.
  std::uint64_t number = 0;  // Unique on the entry VM, also across restarts.

  friend bool operator<(const request_key& left, const request_key& right) {
    return std::tie(left.number, left.entry_vm) <
           std::tie(right.number, right.entry_vm);
  }
  friend bool operator==(const request_key& left, const request_key& right) {
    return left.number == right.number && left.entry_vm == right.entry_vm;
  }
};

struct slot_request {
  request_key key;
  std::string caller_id;          // The caller's request id, for logs.
  std::string work_class;         // Requests of a class take similar time.
  std::string availability_zone;  // Zone of the entry VM.
  int importance = 0;             // 0 is the highest importance.
  bool may_repeat = false;
  int max_attempts = 1;
  int earlier_attempts = 0;  // Attempts granted by other owners.
  // An earlier owner already counted the request in its retry budget.
  bool was_counted = false;
  std::size_t bytes = 0;  // Size of the request body.
  // Speed of the entry VM's link; 0 when unknown.
  std::uint64_t link_bytes_per_second = 0;
  time_span goal{0};  // Response time goal, counted from the arrival.
  monotonic_time arrival;
  monotonic_time deadline;  // Later responses are useless to the caller.
  // How long the caller will wait, counted from the arrival, if it stated it.
  // Unlike the deadline it does not depend on the route.
  std::optional<time_span> stated_limit;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_SLOT_REQUEST_H_
