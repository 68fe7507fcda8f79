// Instruction from the dispatcher to send a call to an endpoint.
#ifndef SERVERS_DISPATCH_ATTEMPT_ORDER_H_
#define SERVERS_DISPATCH_ATTEMPT_ORDER_H_

#include <cstdint>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "servers/dispatch/call.h"

namespace papayakeel {

using attempt_id = std::uint64_t;

struct attempt_order {
  attempt_id id = 0;
  call_id call = 0;
  network_address endpoint;
  monotonic_time deadline;
  bool is_hedge = false;
  // The attempt must use a new connection or one that has just completed an
  // exchange.
  bool needs_live_connection = false;
  // The attempt must use a newly opened connection.
  bool needs_new_connection = false;
  // The attempt ends with kStaleConnection if a reused connection has not
  // returned the first byte of the response after this time. 0 disables the
  // timeout.
  time_span first_byte_timeout{0};
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_ATTEMPT_ORDER_H_
