// One request to an endpoint and its end.
#ifndef MODULES_ENDPOINT_LINK_ENDPOINT_EXCHANGE_H_
#define MODULES_ENDPOINT_LINK_ENDPOINT_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "modules/http/http_types.h"
#include "servers/scheduling/attempt_outcome.h"

namespace papayakeel {

struct endpoint_exchange {
  std::string endpoint_id;
  network_address address;
  // Request line and headers, with the empty line at their end.
  std::string header;
  // The body, shared between the attempts of one request; may be null.
  std::shared_ptr<const std::string> body;
  // Id that the answer must bear; empty for status checks.
  std::string request_id;
  bool is_head = false;
  // Whether a connection that was open before may be used.
  bool may_reuse = true;
  // When the link gives up.
  monotonic_time deadline;
};

struct endpoint_result {
  attempt_outcome outcome = attempt_outcome::kBroken;
  http_response response;  // Only for kAnswered and kServerError.
  std::optional<endpoint_load> load;
  bool has_timed_out = false;
  bool was_reused = false;  // Sent on a connection that was open before.
  // Why it broke, for logs; empty otherwise.
  std::string detail;
};

using endpoint_callback = std::function<void(endpoint_result)>;

}  // namespace papayakeel

#endif  // MODULES_ENDPOINT_LINK_ENDPOINT_EXCHANGE_H_
