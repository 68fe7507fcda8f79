// One HTTP/1.1 connection from a caller. Requests may be pipelined; responses
// are sent in request order.
#ifndef MODULES_ENTRY_GATEWAY_CALLER_SESSION_H_
#define MODULES_ENTRY_GATEWAY_CALLER_SESSION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "core/monotonic_time.h"
#include "drivers/connection_watch.h"
#include "modules/entry_gateway/session_host.h"
#include "modules/http/http_types.h"

namespace papayakeel {

class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  caller_session(session_host& host, boost::asio::ip::tcp::socket socket);
  ~caller_session();

  void Start();

  // Sets the response to request `number`. Further calls for the same request
  // are ignored.
  // `memory` is kept until the response is written.
  void Respond(std::uint64_t number,
               http_response response,
               bool is_head,
               std::shared_ptr<const void> memory = nullptr);
  // Sets a callback for a disconnect of the caller before the response to
  // request `number` is ready.
  void SetDisconnectCallback(std::uint64_t number,
                             std::function<void()> callback);

  // Closes the connection after all pending responses are sent. An idle
  // connection is closed immediately if `close_idle` is true, and otherwise
  // after its next response.
  void Drain(bool close_idle);
  void Close();

  // Whether the caller has taken no bytes for so long that its answers may give
  // way to others.
  bool IsStalled(monotonic_time now) const;
  // Bytes of answers that wait for the caller.
  std::size_t held_answer_bytes() const;
  // Drops these answers and closes the connection. Requests without an answer
  // learn of it later from the event loop.
  void GiveWay();

  bool is_idle() const { return pending_.empty() && !parser_; }

 private:
  struct pending_answer {
    std::uint64_t number = 0;
    bool wants_close = false;  // Close after this response.
    bool is_ready = false;
    http_response response;
    bool is_head = false;
    std::shared_ptr<const void> memory;  // Held for `response`.
    std::function<void()> disconnect_callback;
  };

  // Returns nullptr if request `number` is unknown or already has a response.
  pending_answer* FindUnanswered(std::uint64_t number);
  // Call only after Parse.
  void Read();
  void OnBytes(const boost::system::error_code& error, std::size_t size);
  void Parse();
  // Sets the limits of the request being read to those of the active desired
  // state, or to the built-in ones if none is known.
  void ReadLimits();
  // CheckHeader and ReserveBody return false if the request was rejected.
  bool CheckHeader();
  bool ReserveBody();
  void OnRequest();
  void OnParseError(const boost::system::error_code& error);
  // Rejects a request that is not fully read and closes the connection after
  // the response, whose body is `text`. `reason` and `detail` go to the log.
  void Refuse(http::status status,
              std::string_view reason,
              std::string_view text,
              std::string detail);
  // Rejects a request whose limits are not known.
  void RefuseWithoutDesiredState();
  void SendContinue();
  void ArmTimer();
  void OnTimeout();
  void Flush();
  void OnWritten(bool closes);
  void Linger();
  void OnCallerDisconnected();
  // Closes the connection and returns the disconnect callbacks of the requests
  // without an answer.
  std::vector<std::function<void()>> EndConnection();
  // As OnCallerDisconnected, for a caller that did not close the connection
  // itself. `reason` goes to the log.
  void LoseCaller(std::string_view reason);
  void ReportLoss(std::string_view reason);
  // Ends the connection after a failed read or write.
  void OnIoError(const boost::system::error_code& error);

  session_host* host_;  // Null after Close.
  boost::asio::ip::tcp::socket socket_;
  connection_watch watch_;
  boost::asio::steady_timer timer_;
  // Holds no complete request while `is_reading_`, unless `is_closing_`. Not
  // consumed while `is_reading_`: the read writes into the area after the
  // unparsed bytes, which `consume` may reassign.
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  bool has_checked_header_ = false;
  caller_limits limits_;                // Of the request being read.
  std::uint64_t limits_version_ = 0;    // Of the desired state of `limits_`.
  std::size_t reserved_bytes_ = 0;      // For the body being read.
  std::deque<pending_answer> pending_;  // In request order.
  std::uint64_t next_number_ = 1;
  std::string outgoing_;
  std::shared_ptr<const void> outgoing_memory_;  // Held for `outgoing_`.
  bool is_reading_ = false;
  bool is_writing_ = false;
  bool is_draining_ = false;
  // No further request is read; the connection closes after the last pending
  // response.
  bool is_closing_ = false;
  // Send 100 Continue after all pending responses.
  bool must_send_continue_ = false;
};

}  // namespace papayakeel

#endif  // MODULES_ENTRY_GATEWAY_CALLER_SESSION_H_
