// One request to an endpoint and its result.
#ifndef MODULES_ENDPOINT_LINK_ENDPOINT_EXCHANGE_H_
#define MODULES_ENDPOINT_LINK_ENDPOINT_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "modules/endpoint_link/answer_memory.h"
#include "modules/http/http_types.h"
#include "servers/scheduling/attempt_outcome.h"

namespace papayakeel {

struct endpoint_exchange {
  std::string endpoint_id;
  std::uint64_t endpoint_started_unix_ms = 0;  // Identifies the start.
  network_address address;
  // Request line and headers, including the empty line that ends them.
  std::string header;
  // The body, shared between the attempts of one request; may be null.
  std::shared_ptr<const std::string> body;
  // Request id that the answer must contain; empty for status checks.
  std::string request_id;
  bool is_head = false;
  // Whether an idle pooled connection may be used.
  bool may_reuse = true;
  // Whether the endpoint may still get the request. Asked once a new connection
  // is open, which may take long.
  std::function<bool()> may_send = [] { return true; };
  // Called at most once, while the answer's body arrives, if that takes long,
  // with the size of the whole body as far as it is known and the time so far.
  // It must not end the exchange before it returns.
  std::function<void(const answer_transfer& transfer)> on_transfer =
      [](const answer_transfer&) {};
  // The exchange fails when it has no answer by this time.
  monotonic_time deadline;
};

// Called with an exchange in which its endpoint announced that it leaves, also
// in an answer to an earlier exchange.
using endpoint_leaving_hook = std::function<void(const endpoint_exchange&)>;

struct endpoint_result {
  attempt_outcome outcome = attempt_outcome::kBroken;
  http_response response;  // Only for kAnswered and kServerError.
  // What `response` holds of the memory for answers; kept as long as it.
  std::shared_ptr<const answer_share> memory;
  std::optional<endpoint_load> load;
  // Only for a complete answer with a body.
  std::optional<answer_transfer> transfer;
  bool has_timed_out = false;
  bool was_reused = false;  // Sent on a pooled connection.
  // Cause of a failure, for logs; empty otherwise.
  std::string detail;
};

using endpoint_callback = std::function<void(endpoint_result)>;

}  // namespace papayakeel

#endif  // MODULES_ENDPOINT_LINK_ENDPOINT_EXCHANGE_H_
