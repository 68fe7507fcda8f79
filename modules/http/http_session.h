// One connection of an `http_listener`.
#ifndef MODULES_HTTP_HTTP_SESSION_H_
#define MODULES_HTTP_HTTP_SESSION_H_

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "drivers/connection_watch.h"
#include "modules/http/http_listener.h"
#include "modules/http/http_types.h"

namespace papayakeel {
namespace detail {

class http_session : public std::enable_shared_from_this<http_session> {
 public:
  http_session(http_listener& listener, boost::asio::ip::tcp::socket socket);
  ~http_session();

  void Start();

  // Closes the connection immediately if it is idle, otherwise after the
  // response to the current request.
  void Drain();

  // Closes the connection immediately and detaches it from the listener.
  void Close();

 private:
  void ReadHeader();
  void ReadRestOfHeader();
  void OnHeader();
  void SendContinue();
  void ReadBody();
  void OnRequest();
  void WatchForDisconnect();
  void OnPeerClosed();
  void Respond(http_response response);
  void RejectAndClose(http_response response);
  void OnReadError(const boost::system::error_code& error);
  void OnWritten(bool keep_alive);

  http_listener* listener_;  // Null after Close().
  boost::beast::tcp_stream stream_;
  connection_watch watch_;  // For a close behind bytes of further requests.
  boost::asio::steady_timer read_deadline_;
  bool has_read_timed_out_ = false;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http_response response_;
  network_address peer_;
  std::function<void()> on_disconnect_;
  unsigned request_version_ = 11;
  bool wants_keep_alive_ = true;
  // True from the first byte of a request until its response has been written.
  bool is_request_active_ = false;
  bool is_response_started_ = false;
  // Identifies the current request. A late response to an earlier request is
  // discarded.
  std::uint64_t request_number_ = 0;
};

}  // namespace detail
}  // namespace papayakeel

#endif  // MODULES_HTTP_HTTP_SESSION_H_
