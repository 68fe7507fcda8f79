// One connection of the server stand-in. Unlike the product's listener it can
// send broken answers and fall silent.
#ifndef MISC_STAND_INS_SERVER_STAND_IN_CONNECTION_H_
#define MISC_STAND_INS_SERVER_STAND_IN_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "misc/stand_ins/server/fault_switches.h"
#include "modules/http/http_types.h"

namespace papayakeel {

class stand_in_connection
    : public std::enable_shared_from_this<stand_in_connection> {
 public:
  struct hooks {
    std::function<void(std::shared_ptr<stand_in_connection>, http_request)>
        on_request;
    // The peer closed, or the connection broke.
    std::function<void(stand_in_connection*)> on_closed;
  };

  stand_in_connection(boost::asio::ip::tcp::socket socket,
                      hooks connection_hooks);

  void Start();

  // Sends `answer`, spoiled by `fault`.
  void Answer(http_response answer, answer_fault fault);

  // From now on every byte from the peer is lost and nothing is answered, as
  // when something on the path has forgotten the connection.
  void FallSilent() { is_silent_ = true; }

  bool is_silent() const { return is_silent_; }

  void Close();

 private:
  void Read();
  void WatchForClose();
  void ReportClosed();

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  hooks hooks_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string outgoing_;
  bool is_silent_ = false;
  bool is_closed_ = false;
  bool is_waiting_for_answer_ = false;
  std::uint64_t request_number_ = 0;
};

}  // namespace papayakeel

#endif  // MISC_STAND_INS_SERVER_STAND_IN_CONNECTION_H_
