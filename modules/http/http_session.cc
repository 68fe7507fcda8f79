// Reads requests and writes responses on one connection.
#include "modules/http/http_session.h"

#include <sys/socket.h>

#include <limits>
#include <string_view>
#include <utility>

#include <boost/beast/http.hpp>

namespace papayakeel {
namespace detail {

namespace {

network_address RemoteAddress(const boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  const boost::asio::ip::tcp::endpoint remote = socket.remote_endpoint(error);
  if (error)
    return {};
  return {remote.address().to_string(), remote.port()};
}

}  // namespace

http_session::http_session(http_listener& listener,
                           boost::asio::ip::tcp::socket socket)
    : listener_(&listener),
      stream_(std::move(socket)),
      watch_(stream_.get_executor().context(),
             {[this] { OnPeerClosed(); }, nullptr}),
      read_deadline_(stream_.get_executor()),
      buffer_(listener.settings_.header_limit_bytes + 64 * 1024) {
  listener_->sessions_.insert(this);
  peer_ = RemoteAddress(stream_.socket());
  boost::system::error_code ignored;
  stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  watch_.Start(stream_.socket().native_handle());
}

http_session::~http_session() {
  if (listener_ != nullptr)
    listener_->sessions_.erase(this);
}

void http_session::Start() {
  ReadHeader();
}

void http_session::Drain() {
  if (!is_request_active_)
    stream_.close();
}

void http_session::Close() {
  listener_ = nullptr;
  on_disconnect_ = nullptr;
  watch_.Stop();
  stream_.close();
}

void http_session::ReadHeader() {
  is_request_active_ = false;
  is_response_started_ = false;
  on_disconnect_ = nullptr;
  ++request_number_;
  parser_.emplace();
  parser_->header_limit(listener_->settings_.header_limit_bytes);
  // OnHeader() sets the actual limit. Beast 1.74 rejects every body if the
  // limit is boost::none.
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (buffer_.size() > 0) {
    ReadRestOfHeader();
    return;
  }
  // Waits for the first byte because the read timeout starts when it arrives.
  stream_.expires_after(listener_->settings_.idle_timeout);
  stream_.async_read_some(
      buffer_.prepare(4096),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t count) {
        if (error || self->listener_ == nullptr)
          return;
        self->buffer_.commit(count);
        self->ReadRestOfHeader();
      });
}

void http_session::ReadRestOfHeader() {
  is_request_active_ = true;
  // Uses a separate timer. The stream's own timeout would close the socket
  // before a 408 response could be sent.
  stream_.expires_never();
  read_deadline_.expires_after(listener_->settings_.read_timeout);
  read_deadline_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const std::shared_ptr<http_session> self = weak.lock();
        if (error || !self)
          return;
        self->has_read_timed_out_ = true;
        self->stream_.cancel();
      });
  http::async_read_header(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t) {
        if (error)
          return self->OnReadError(error);
        self->OnHeader();
      });
}

void http_session::OnHeader() {
  if (listener_ == nullptr)
    return;
  request_version_ = parser_->get().version();
  wants_keep_alive_ = parser_->keep_alive();
  header_decision decision =
      listener_->hooks_.check_header(parser_->get(), peer_);
  if (decision.refusal)
    return RejectAndClose(std::move(*decision.refusal));
  const boost::optional<std::uint64_t> length = parser_->content_length();
  if (length && *length > decision.body_limit_bytes) {
    return RejectAndClose(listener_->hooks_.make_error(
        http::status::payload_too_large, "body exceeds the limit",
        &parser_->get()));
  }
  parser_->body_limit(decision.body_limit_bytes);
  const bool expects_continue = boost::beast::iequals(
      parser_->get()[http::field::expect], "100-continue");
  if (expects_continue)
    return SendContinue();
  ReadBody();
}

void http_session::SendContinue() {
  response_ = http_response(http::status::continue_, request_version_);
  http::async_write(stream_, response_,
                    [self = shared_from_this()](
                        const boost::system::error_code& error, std::size_t) {
                      if (!error)
                        self->ReadBody();
                    });
}

void http_session::ReadBody() {
  http::async_read(stream_, buffer_, *parser_,
                   [self = shared_from_this()](
                       const boost::system::error_code& error, std::size_t) {
                     if (error)
                       return self->OnReadError(error);
                     self->OnRequest();
                   });
}

void http_session::OnRequest() {
  if (listener_ == nullptr)
    return;
  read_deadline_.cancel();
  const std::uint64_t number = request_number_;
  const std::weak_ptr<http_session> weak = weak_from_this();
  http_exchange exchange;
  exchange.request = parser_->release();
  exchange.peer = peer_;
  exchange.respond = [self = shared_from_this(),
                      number](http_response response) {
    if (self->request_number_ == number)
      self->Respond(std::move(response));
  };
  exchange.on_disconnect = [weak, number](std::function<void()> callback) {
    const std::shared_ptr<http_session> self = weak.lock();
    if (self && self->request_number_ == number && !self->is_response_started_)
      self->on_disconnect_ = std::move(callback);
  };
  listener_->hooks_.handle(std::move(exchange));
  if (!is_response_started_)
    WatchForDisconnect();
}

void http_session::WatchForDisconnect() {
  if (buffer_.size() > 0)
    return watch_.WatchForClose();
  const std::uint64_t number = request_number_;
  stream_.socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [weak = weak_from_this(),
       number](const boost::system::error_code& error) {
        const std::shared_ptr<http_session> self = weak.lock();
        if (error || !self || self->request_number_ != number ||
            self->is_response_started_)
          return;
        char byte = 0;
        const ssize_t count = recv(self->stream_.socket().native_handle(),
                                   &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        // Readable data is a pipelined request, not a disconnect.
        if (count > 0)
          return self->watch_.WatchForClose();
        self->OnPeerClosed();
      });
}

void http_session::OnPeerClosed() {
  const std::shared_ptr<http_session> self = shared_from_this();
  const std::function<void()> disconnected = std::move(on_disconnect_);
  on_disconnect_ = nullptr;
  ++request_number_;
  watch_.Stop();
  stream_.close();
  if (disconnected)
    disconnected();
}

void http_session::Respond(http_response response) {
  if (listener_ == nullptr || is_response_started_)
    return;
  is_response_started_ = true;
  on_disconnect_ = nullptr;
  watch_.IgnoreClose();
  read_deadline_.cancel();
  const bool keep_alive = wants_keep_alive_ && !listener_->is_draining_;
  response_ = std::move(response);
  response_.version(request_version_);
  response_.keep_alive(keep_alive);
  response_.prepare_payload();
  stream_.expires_after(listener_->settings_.write_timeout);
  http::async_write(stream_, response_,
                    [self = shared_from_this(), keep_alive](
                        const boost::system::error_code& error, std::size_t) {
                      if (!error)
                        self->OnWritten(keep_alive);
                    });
}

void http_session::OnWritten(bool keep_alive) {
  if (listener_ == nullptr)
    return;
  if (keep_alive && !listener_->is_draining_)
    return ReadHeader();
  boost::system::error_code ignored;
  stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                            ignored);
  // Reads and discards remaining input. Closing a socket with unread data
  // resets the connection, and the peer could lose the response.
  buffer_.clear();
  stream_.expires_after(std::chrono::seconds(1));
  stream_.async_read_some(
      buffer_.prepare(4096),
      [self = shared_from_this()](const boost::system::error_code&,
                                  std::size_t) { self->stream_.close(); });
}

void http_session::RejectAndClose(http_response response) {
  wants_keep_alive_ = false;
  Respond(std::move(response));
}

void http_session::OnReadError(const boost::system::error_code& error) {
  if (listener_ == nullptr)
    return;
  const auto reject = [this](http::status status, std::string_view reason) {
    const http_request* header =
        parser_->is_header_done() ? &parser_->get() : nullptr;
    RejectAndClose(listener_->hooks_.make_error(status, reason, header));
  };
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return reject(http::status::request_header_fields_too_large,
                  "header exceeds the limit");
  }
  if (error == http::error::body_limit)
    return reject(http::status::payload_too_large, "body exceeds the limit");
  if (has_read_timed_out_)
    return reject(http::status::request_timeout, "request sent too slowly");
  const bool is_parse_error =
      error.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message;
  if (is_parse_error)
    return reject(http::status::bad_request, "malformed HTTP");
}

}  // namespace detail
}  // namespace papayakeel
