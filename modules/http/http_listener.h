// HTTP/1.1 server side: accepts connections and reads requests with bounded
// memory and time. Used for callers and for operators.
#ifndef MODULES_HTTP_HTTP_LISTENER_H_
#define MODULES_HTTP_HTTP_LISTENER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "modules/http/http_types.h"

namespace papayakeel {

namespace detail {
class http_session;
}  // namespace detail

enum class listen_error_code {
  kBadAddress,
  kAddressInUse,
  kSystem,
};

struct http_listener_settings {
  network_address listen;
  std::uint32_t header_limit_bytes = 16 * 1024;
  // From the first byte of a request to its last.
  time_span read_timeout = std::chrono::seconds(10);
  time_span idle_timeout = std::chrono::seconds(60);
  time_span write_timeout = std::chrono::seconds(10);
  std::size_t connection_limit = 4096;
};

// What to do with a request of which only the header has been read.
struct header_decision {
  std::uint64_t body_limit_bytes = 64 * 1024;
  // Answers at once and closes, without reading the body.
  std::optional<http_response> refusal;
};

// One request and the means to answer it.
struct http_exchange {
  http_request request;
  network_address peer;
  // Sends the answer; later calls are ignored. Safe after a disconnect.
  std::function<void(http_response)> respond;
  // Sets what to call when the peer goes away before the answer is sent.
  std::function<void(std::function<void()>)> on_disconnect;
};

// Answers with the reason as plain text.
http_response MakePlainError(http::status status,
                             std::string_view reason,
                             const http_request* header);

struct http_listener_hooks {
  std::function<header_decision(const http_request&, const network_address&)>
      check_header = [](const http_request&, const network_address&) {
        return header_decision();
      };
  std::function<void(http_exchange)> handle;
  // Builds the answer to a request that cannot be read. `header` is null when
  // not even that could be.
  std::function<http_response(http::status,
                              std::string_view reason,
                              const http_request* header)>
      make_error = MakePlainError;
};

class http_listener {
 public:
  http_listener(boost::asio::io_context& context,
                http_listener_settings settings,
                http_listener_hooks hooks);
  ~http_listener();
  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;

  // Binds and starts to accept.
  tl::expected<void, listen_error_code> Start();

  // Stops accepting, closes idle connections, and closes each other one after
  // its answer.
  void Drain();

  // Closes everything at once.
  void Close();

  std::size_t connection_count() const { return sessions_.size(); }
  bool is_draining() const { return is_draining_; }

  // The address that was bound, with the port that the system chose when the
  // settings say 0.
  network_address local_address() const;

 private:
  friend class detail::http_session;

  void Accept();

  boost::asio::io_context& context_;
  const http_listener_settings settings_;
  const http_listener_hooks hooks_;
  boost::asio::ip::tcp::acceptor acceptor_;
  // Each session removes itself when its connection ends.
  std::unordered_set<detail::http_session*> sessions_;
  bool is_draining_ = false;
};

}  // namespace papayakeel

#endif  // MODULES_HTTP_HTTP_LISTENER_H_
