// HTTP/1.1 client that opens a new connection for each request.
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
  // The connection closed, or the response is malformed or too large.
  kBroken,
};

// Returns the name of `code` for logs.
const char* ToString(fetch_error_code code);

using fetch_callback =
    std::function<void(tl::expected<http_response, fetch_error_code>)>;

struct fetch_request {
  network_address server;
  http_request request;
  // Time limit for sending the request and reading the response, measured from
  // the moment the connection is open.
  time_span timeout = std::chrono::seconds(5);
  // Extends `timeout` while the response arrives: each part of it may take
  // `progress_timeout`, and all of it `max_timeout`. No extension when zero.
  time_span progress_timeout{0};
  time_span max_timeout{0};
  // TCP retransmits a lost SYN only after seconds. Failing early lets the
  // caller retry sooner.
  time_span connect_timeout = std::chrono::seconds(1);
  std::size_t max_answer_bytes = 1 << 20;
  // Whether the server may compress the response. `max_answer_bytes` holds for
  // the response before and after decompression.
  bool may_be_compressed = false;
  // Called with the size in bytes of each part of the response that arrives.
  std::function<void(std::size_t bytes)> on_progress = [](std::size_t) {};
};

// Sends the request. Calls `done` asynchronously and exactly once, unless the
// event loop ends first.
void Fetch(boost::asio::io_context& context,
           fetch_request request,
           fetch_callback done);

}  // namespace papayakeel

#endif  // MODULES_HTTP_HTTP_FETCH_H_
