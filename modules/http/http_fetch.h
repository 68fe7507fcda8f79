// HTTP/1.1 client side for single requests, on a connection of its own.
#ifndef MODULES_HTTP_HTTP_FETCH_H_
#define MODULES_HTTP_HTTP_FETCH_H_

#include <cstddef>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "modules/http/http_types.h"

namespace papayakeel {

enum class fetch_error_code {
  kBadAddress,
  kConnectFailed,
  kTimedOut,
  kBroken,  // The connection ended or the answer is malformed or oversized.
};

// Returns the name of `code` for logs.
const char* ToString(fetch_error_code code);

using fetch_callback =
    std::function<void(tl::expected<http_response, fetch_error_code>)>;

struct fetch_request {
  network_address server;
  http_request request;
  // For the answer, once the connection is open.
  time_span timeout = std::chrono::seconds(5);
  // A lost opening packet is sent again after seconds, so that a new try is
  // faster than waiting.
  time_span connect_timeout = std::chrono::seconds(1);
  std::size_t max_answer_bytes = 1 << 20;
};

// Sends the request and calls `done` later, exactly once, unless the loop ends
// first.
void Fetch(boost::asio::io_context& context,
           fetch_request request,
           fetch_callback done);

}  // namespace papayakeel

#endif  // MODULES_HTTP_HTTP_FETCH_H_
