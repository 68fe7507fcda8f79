// One TCP connection to an endpoint. It runs one exchange at a time and is
// closed as soon as its state is uncertain.
#ifndef MODULES_SERVER_LINK_SERVER_CONNECTION_H_
#define MODULES_SERVER_LINK_SERVER_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "drivers/connection_watch.h"
#include "modules/http/answer_reader.h"
#include "modules/http/http_types.h"
#include "modules/server_link/exchange.h"

namespace papayakeel {
namespace detail {

class server_connection
    : public std::enable_shared_from_this<server_connection> {
 public:
  server_connection(boost::asio::io_context& context, network_address endpoint);

  // Runs one exchange. `done` is called exactly once, unless `Abandon` is
  // called first. Afterwards `IsReusable` tells whether the connection can be
  // kept.
  void Run(exchange_request exchange, exchange_callback done);

  // Aborts the exchange and closes the connection; `done` is not called.
  void Abandon();

  // True if the last exchange ended cleanly and no bytes have arrived since.
  bool IsReusable() const;

  void Close();

  bool has_carried_exchange() const { return has_carried_exchange_; }
  monotonic_time opened_at() const { return opened_at_; }
  monotonic_time last_used_at() const { return last_used_at_; }
  const network_address& endpoint() const { return endpoint_; }

 private:
  void Write();
  void StartSilenceTimer();
  void Read();
  void ReadSome();
  void OnState(answer_state state);
  void OnResponse();
  void Finish(attempt_result result);
  attempt_result FailureResult() const;

  network_address endpoint_;
  boost::beast::tcp_stream stream_;
  connection_watch watch_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer silence_timer_;
  answer_reader reader_;
  int interim_answers_ = 0;  // In the current exchange.
  http_request outgoing_;
  exchange_request exchange_;
  exchange_callback done_;  // Set while an exchange runs.
  bool is_open_ = false;
  bool is_clean_ = false;  // Open; last response complete, keep-alive allowed.
  // The write has not ended, or has failed. It uses `outgoing_`.
  bool is_writing_ = false;
  bool has_sent_ = false;  // Bytes of the current request may have been sent.
  bool has_carried_exchange_ = false;
  bool is_leaving_ = false;
  monotonic_time opened_at_;
  monotonic_time last_used_at_;
};

}  // namespace detail
}  // namespace papayakeel

#endif  // MODULES_SERVER_LINK_SERVER_CONNECTION_H_
