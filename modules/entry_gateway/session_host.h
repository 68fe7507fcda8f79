// Callbacks from caller sessions to the gateway.
#ifndef MODULES_ENTRY_GATEWAY_SESSION_HOST_H_
#define MODULES_ENTRY_GATEWAY_SESSION_HOST_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "modules/http/http_types.h"
#include "servers/routing/desired_state.h"

namespace papayakeel {

class caller_session;

// A completely received request from a caller.
struct caller_request {
  http_request message;
  monotonic_time arrival;
  std::shared_ptr<caller_session> session;
  std::uint64_t number = 0;  // Sequence number in the session.
};

// A request that the session rejects itself, for logs and metrics.
struct refused_request {
  const http_request* message = nullptr;  // May be incomplete.
  http::status status = http::status::bad_request;
  std::string_view reason;
  std::string detail;
  // Version of the desired state whose limits applied to the request. 0 if no
  // desired state was known.
  std::uint64_t state_version = 0;
};

// A caller whose connection the session has ended, for logs and metrics.
struct lost_caller {
  std::string address;
  // "stalled": the caller took no bytes for too long. "silent": nor did it
  // answer the kernel's probes. "unreachable": it did not acknowledge sent
  // bytes, or did not answer keep-alive probes. "memory": it took no bytes, and
  // its answers gave way to others.
  std::string_view reason;
  std::size_t unanswered = 0;  // Requests whose answers are lost with it.
};

struct session_host {
  std::function<caller_limits()> limits;
  // Returns the version of the active desired state, or 0 if there is none.
  std::function<std::uint64_t()> state_version;
  std::function<void(const refused_request&)> refused;
  std::function<void(caller_request)> handle;
  std::function<void(const lost_caller&)> lost;
  std::function<void(caller_session&)> closed;
  // Reserves memory for a request body. Returns false if the reservation would
  // exceed the memory limit for bodies.
  std::function<bool(std::size_t bytes)> reserve;
  std::function<void(std::size_t bytes)> release;
};

}  // namespace papayakeel

#endif  // MODULES_ENTRY_GATEWAY_SESSION_HOST_H_
