// Connections and runs of the endpoint.
#include "review/support/working_endpoint.h"

#include <sys/socket.h>

#include <memory>
#include <thread>
#include <utility>

namespace review {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds kStep{10};
constexpr std::size_t kBodyLimit = 4 << 20;

papayakeel::monotonic_time Now() {
  return std::chrono::steady_clock::now();
}

// Whether the peer has closed or reset the connection. Unread bytes hide an
// orderly close behind them, but not a reset.
bool IsClosed(tcp::socket& socket) {
  int pending_error = 0;
  socklen_t size = sizeof(pending_error);
  getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &pending_error,
             &size);
  if (pending_error != 0)
    return true;
  char byte = 0;
  const ssize_t count =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0;
}

}  // namespace

working_endpoint::working_endpoint(endpoint_settings settings)
    : settings_(std::move(settings)),
      acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
  std::thread([this] { Accept(); }).detach();
}

papayakeel::network_address working_endpoint::address() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

std::vector<run_record> working_endpoint::Runs() {
  const std::lock_guard<std::mutex> guard(mutex_);
  return runs_;
}

void working_endpoint::Accept() {
  while (true) {
    const std::shared_ptr<tcp::socket> socket =
        std::make_shared<tcp::socket>(context_);
    boost::system::error_code error;
    acceptor_.accept(*socket, error);
    if (error)
      return;
    std::thread([this, socket] { Serve(*socket); }).detach();
  }
}

void working_endpoint::Serve(tcp::socket& socket) {
  boost::beast::flat_buffer buffer;
  boost::system::error_code error;
  while (!error) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kBodyLimit);
    http::read_header(socket, buffer, parser, error);
    if (error)
      return;
    http::response<http::string_body> answer(http::status::ok, 11);
    answer.set(settings_.names.endpoint_load, "0,0,2,100");
    const bool is_status_check =
        parser.get()[settings_.names.request_id].empty();
    if (is_status_check)
      answer.set(settings_.names.endpoint_id, settings_.id);
    else if (!Work(socket, buffer, parser, answer))
      return;
    answer.prepare_payload();
    http::write(socket, answer, error);
  }
}

bool working_endpoint::Work(tcp::socket& socket,
                            boost::beast::flat_buffer& buffer,
                            http::request_parser<http::string_body>& parser,
                            http::response<http::string_body>& answer) {
  const std::string id(parser.get()[settings_.names.request_id]);
  std::size_t number = 0;
  {
    const std::lock_guard<std::mutex> guard(mutex_);
    number = runs_.size();
    runs_.push_back({id, Now(), {}, false, false});
  }
  const papayakeel::monotonic_time end = Now() + settings_.work;
  bool is_closed = false;
  while (Now() < end && !is_closed) {
    std::this_thread::sleep_for(kStep);
    is_closed = IsClosed(socket);
  }
  boost::system::error_code error;
  if (!is_closed)
    http::read(socket, buffer, parser, error);
  answer.set(settings_.names.request_id, id);
  answer.set(settings_.names.answer_proof, "seal-of-" + settings_.id);
  answer.body() = std::string(settings_.answer_bytes, 'a');
  const std::lock_guard<std::mutex> guard(mutex_);
  run_record& record = runs_.at(number);
  record.ended_at = Now();
  record.has_ended = true;
  record.has_answered = !is_closed && !error;
  return record.has_answered;
}

}  // namespace review
