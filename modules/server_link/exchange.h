// One request to an endpoint and its end.
#ifndef MODULES_SERVER_LINK_EXCHANGE_H_
#define MODULES_SERVER_LINK_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "modules/http/http_types.h"
#include "servers/dispatch/attempt_report.h"

namespace papayakeel {

using exchange_id = std::uint64_t;

struct exchange_request {
  exchange_id id = 0;
  network_address endpoint;
  // Shared between the attempts of one call.
  std::shared_ptr<const http_request> request;
  // When the link gives up.
  monotonic_time deadline;
  // What the server is told; the epoch of the clock means the same as
  // `deadline`.
  monotonic_time server_deadline;
  bool needs_live_connection = false;
  bool needs_new_connection = false;
  // How long a reused connection may return no byte; 0 disables the timeout.
  time_span read_idle_timeout{0};
  std::size_t max_answer_bytes = 1 << 20;
  // Header in which the server must return the request id; empty for none.
  std::string answer_id_header;
};

struct exchange_result {
  attempt_result result = attempt_result::kUnknown;
  http_response response;  // Only for kAnswered.
  bool is_leaving = false;
};

using exchange_callback = std::function<void(exchange_result)>;

}  // namespace papayakeel

#endif  // MODULES_SERVER_LINK_EXCHANGE_H_
