// Callbacks through which a dispatcher acts. A callback must not call the
// dispatcher before the callback has returned.
#ifndef SERVERS_DISPATCH_DISPATCH_HOOKS_H_
#define SERVERS_DISPATCH_DISPATCH_HOOKS_H_

#include <functional>

#include "core/network_address.h"
#include "servers/dispatch/attempt_order.h"
#include "servers/dispatch/call_result.h"
#include "servers/dispatch/endpoint_finding.h"

namespace papayakeel {

struct dispatch_hooks {
  std::function<void(const attempt_order&)> start_attempt;
  // Cancels an attempt. No report may follow.
  std::function<void(attempt_id)> cancel_attempt;
  // Called exactly once for each submitted call that was not cancelled.
  std::function<void(const call_result&)> finish_call;
  // Sends one probe; its result is passed to `dispatcher::ReportProbe`.
  // Optional: without it, an ejected endpoint is re-admitted after a successful
  // trial call.
  std::function<void(const network_address&)> start_probe;
  // Shares the observed state of an endpoint with the other entry VMs.
  // Optional.
  std::function<void(const endpoint_finding&)> share_finding;
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_DISPATCH_HOOKS_H_
