// HTTP/1.1 server. Accepts connections from callers and operators and limits
// the memory and time that reading a request takes.
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
  // Measured from the first byte of a request to the last.
  time_span read_timeout = std::chrono::seconds(10);
  time_span idle_timeout = std::chrono::seconds(60);
  time_span write_timeout = std::chrono::seconds(10);
  std::size_t connection_limit = 4096;
};

// Decision on a request after its header and before its body has been read.
struct header_decision {
  std::uint64_t body_limit_bytes = 64 * 1024;
  // If set, the listener sends this response without reading the body and
  // closes the connection.
  std::optional<http_response> refusal;
};

// One request, with callbacks to respond to it and to observe a disconnect.
struct http_exchange {
  http_request request;
  network_address peer;
  // Sends the response. Only the first call has an effect. May be called after
  // the peer has disconnected.
  std::function<void(http_response)> respond;
  // Sets the callback for a peer that disconnects before a response is sent.
  std::function<void(std::function<void()>)> on_disconnect;
};

// Returns an error response with `reason` as its plain text body.
http_response MakePlainError(http::status status,
                             std::string_view reason,
                             const http_request* header);

struct http_listener_hooks {
  std::function<header_decision(const http_request&, const network_address&)>
      check_header = [](const http_request&, const network_address&) {
        return header_decision();
      };
  std::function<void(http_exchange)> handle;
  // Builds the response to a request that cannot be read. `header` is null if
  // the header could not be read either.
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

  // Binds the listening socket and starts accepting connections.
  tl::expected<void, listen_error_code> Start();

  // Stops accepting connections and closes idle ones. A connection with a
  // request in progress is closed after its response.
  void Drain();

  // Closes the listening socket and all connections immediately.
  void Close();

  std::size_t connection_count() const { return sessions_.size(); }
  bool is_draining() const { return is_draining_; }

  // Returns the bound address. If the port in the settings is 0, the result
  // holds the port chosen by the operating system.
  network_address local_address() const;

 private:
  friend class detail::http_session;

  void Accept();

  boost::asio::io_context& context_;
  const http_listener_settings settings_;
  const http_listener_hooks hooks_;
  boost::asio::ip::tcp::acceptor acceptor_;
  // Each session removes itself when it is destroyed.
  std::unordered_set<detail::http_session*> sessions_;
  bool is_draining_ = false;
};

}  // namespace papayakeel

#endif  // MODULES_HTTP_HTTP_LISTENER_H_
