// One request to an endpoint and its result.
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
  // Shared by all attempts of the same call.
  std::shared_ptr<const http_request> request;
  // When the server link stops waiting for the response.
  monotonic_time deadline;
  // Deadline sent to the server. A default-constructed value means `deadline`.
  monotonic_time server_deadline;
  bool needs_live_connection = false;
  bool needs_new_connection = false;
  // How long a reused connection may go without returning the first byte of the
  // response before it counts as stale; 0 means no limit.
  time_span first_byte_timeout{0};
  std::size_t max_answer_bytes = 1 << 20;
  // Response header in which the server must echo the request id; empty
  // disables the check.
  std::string answer_id_header;
};

struct exchange_result {
  attempt_result result = attempt_result::kUnknown;
  http_response response;  // Set only for kAnswered.
  bool is_leaving = false;
};

using exchange_callback = std::function<void(exchange_result)>;

}  // namespace papayakeel

#endif  // MODULES_SERVER_LINK_EXCHANGE_H_
