// A caller's request as passed to the call router, and its result.
#ifndef MODULES_CALL_ROUTER_ROUTED_CALL_H_
#define MODULES_CALL_ROUTER_ROUTED_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/monotonic_time.h"
#include "modules/http/http_types.h"
#include "servers/bundles/bundle.h"
#include "servers/dispatch/call_result.h"

namespace papayakeel {

struct routed_call {
  // Bundle that the call started with, used until the call ends. Owns
  // `definition` and `work`.
  bundle_pointer in_force;
  const service_definition* definition = nullptr;
  const work_class* work = nullptr;
  std::shared_ptr<const http_request> request;
  monotonic_time arrival;
  monotonic_time deadline;
  int importance = 3;
  unsigned caller_attempt = 1;
  // Once-only work: receives a response that arrives after the call ended with
  // an unknown outcome. May be empty.
  std::function<void(const http_response&)> on_late_answer;
};

struct routed_result {
  call_result result;
  std::optional<http_response> response;  // Set only if answered.
};

using routed_callback = std::function<void(routed_result)>;

}  // namespace papayakeel

#endif  // MODULES_CALL_ROUTER_ROUTED_CALL_H_
