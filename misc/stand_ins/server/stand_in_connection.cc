// Reading of requests, sending of whole and broken answers.
#include "misc/stand_ins/server/stand_in_connection.h"

#include <sys/socket.h>

#include <sstream>
#include <utility>

#include <boost/asio/write.hpp>

namespace papayakeel {

namespace {

constexpr std::uint64_t kMaxBodyBytes = 16 << 20;

std::string Serialize(const http_response& answer) {
  std::ostringstream text;
  text << answer;
  return text.str();
}

// Returns the bytes that go out for `answer` under `fault`.
std::string SpoiledBytes(http_response answer, answer_fault fault) {
  answer.prepare_payload();
  switch (fault) {
    case answer_fault::kNone:
      return Serialize(answer);
    case answer_fault::kCloseEarly: {
      const std::string whole = Serialize(answer);
      return whole.substr(0, whole.size() - answer.body().size() / 2 - 1);
    }
    case answer_fault::kWrongLength:
      answer.content_length(answer.body().size() + 10);
      return Serialize(answer);
    case answer_fault::kTwice:
      return Serialize(answer) + Serialize(answer);
    case answer_fault::kCrossed:
      answer.set("Papayakeel-Request-Id", "1");
      answer.body() = "answer to another request\n";
      answer.prepare_payload();
      return Serialize(answer);
    case answer_fault::kNoFraming:
      answer.content_length(boost::none);
      answer.keep_alive(false);
      return Serialize(answer);
  }
  return {};
}

}  // namespace

stand_in_connection::stand_in_connection(boost::asio::ip::tcp::socket socket,
                                         hooks connection_hooks)
    : stream_(std::move(socket)), hooks_(std::move(connection_hooks)) {
  boost::system::error_code ignored;
  stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void stand_in_connection::Start() {
  Read();
}

void stand_in_connection::Read() {
  parser_.emplace();
  parser_->body_limit(kMaxBodyBytes);
  ++request_number_;
  http::async_read(stream_, buffer_, *parser_,
                   [self = shared_from_this()](
                       const boost::system::error_code& error, std::size_t) {
                     if (error)
                       return self->ReportClosed();
                     if (self->is_silent_) {
                       self->buffer_.clear();
                       return self->Read();
                     }
                     self->is_waiting_for_answer_ = true;
                     self->hooks_.on_request(self, self->parser_->release());
                     if (self->is_waiting_for_answer_)
                       self->WatchForClose();
                   });
}

void stand_in_connection::WatchForClose() {
  const std::uint64_t number = request_number_;
  stream_.socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [self = shared_from_this(),
       number](const boost::system::error_code& error) {
        if (error || self->request_number_ != number || self->is_silent_)
          return;
        char byte = 0;
        const ssize_t count = recv(self->stream_.socket().native_handle(),
                                   &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (count <= 0)
          self->ReportClosed();
      });
}

void stand_in_connection::Answer(http_response answer, answer_fault fault) {
  is_waiting_for_answer_ = false;
  if (is_closed_ || is_silent_)
    return;
  const bool must_close = fault == answer_fault::kCloseEarly ||
                          fault == answer_fault::kNoFraming ||
                          !answer.keep_alive();
  outgoing_ = SpoiledBytes(std::move(answer), fault);
  boost::asio::async_write(
      stream_, boost::asio::buffer(outgoing_),
      [self = shared_from_this(), must_close](
          const boost::system::error_code& error, std::size_t) {
        if (error)
          return self->ReportClosed();
        if (must_close) {
          boost::system::error_code ignored;
          self->stream_.socket().shutdown(
              boost::asio::ip::tcp::socket::shutdown_send, ignored);
        }
        self->Read();
      });
}

void stand_in_connection::Close() {
  is_closed_ = true;
  stream_.close();
}

void stand_in_connection::ReportClosed() {
  if (is_closed_)
    return;
  Close();
  hooks_.on_closed(this);
}

}  // namespace papayakeel
