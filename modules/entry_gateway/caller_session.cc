// Request parsing, response ordering and connection shutdown.
#include "modules/entry_gateway/caller_session.h"

#include <limits>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

#include "drivers/event_loop.h"
#include "drivers/socket_options.h"
#include "modules/entry_gateway/http_message.h"

namespace papayakeel {

namespace {

// Maximum number of requests in flight on one connection.
constexpr std::size_t kMaxPipelinedRequests = 32;

constexpr std::size_t kReadBufferBytes = 16 * 1024;

// Of a chunk header or a trailer, which are parsed only whole.
constexpr std::size_t kMaxFramingBytes = 64 * 1024;

// Time limit for writing a response and for a pause within a request body.
constexpr time_span kStallTimeout = std::chrono::seconds(10);

// A caller that takes no bytes for this long loses its answers if others need
// the memory.
constexpr time_span kGiveWayTime = std::chrono::seconds(1);

// Time to keep reading after the last response. Closing a socket with unread
// bytes sends a reset, which can make the caller lose the response.
constexpr time_span kLingerTime = std::chrono::seconds(1);

// Retry-After, in seconds, if the memory limit for request bodies is reached or
// no desired state is known.
constexpr char kRetryAfter[] = "0.5";

}  // namespace

caller_session::caller_session(session_host& host,
                               boost::asio::ip::tcp::socket socket)
    : host_(&host),
      socket_(std::move(socket)),
      watch_(socket_.get_executor().context(),
             {[this] { OnCallerDisconnected(); },
              [this] { LoseCaller("silent"); }}),
      timer_(socket_.get_executor()) {}

caller_session::~caller_session() {
  if (host_ == nullptr)
    return;
  host_->release(reserved_bytes_);
  host_->closed(*this);
}

void caller_session::Start() {
  SetLowLatencyOptions(socket_.native_handle());
  watch_.Start(socket_.native_handle());
  ArmTimer();
  Read();
}

void caller_session::Read() {
  if (host_ == nullptr || is_reading_)
    return;
  if (pending_.size() >= kMaxPipelinedRequests)
    return watch_.WatchForClose();
  watch_.IgnoreClose();
  is_reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBufferBytes),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        self->is_reading_ = false;
        self->OnBytes(error, size);
      });
}

void caller_session::OnBytes(const boost::system::error_code& error,
                             std::size_t size) {
  if (host_ == nullptr)
    return;
  if (error)
    return OnIoError(error);
  if (is_closing_) {
    // Discard the data; reading only serves to detect a disconnect.
    return Read();
  }
  buffer_.commit(size);
  Parse();
  ArmTimer();
  Read();
}

void caller_session::Parse() {
  // A read begins only after all complete requests are parsed, so the buffer
  // has nothing to parse before that read ends.
  if (is_reading_)
    return;
  while (buffer_.size() > 0 && !is_closing_ && host_ != nullptr &&
         pending_.size() < kMaxPipelinedRequests) {
    if (!parser_) {
      const char first = *static_cast<const char*>(buffer_.data().data());
      if (first == '\r' || first == '\n') {
        buffer_.consume(1);
        continue;
      }
      parser_.emplace();
      has_checked_header_ = false;
      limits_version_ = 0;
    }
    if (limits_version_ == 0 && !has_checked_header_)
      ReadLimits();
    boost::system::error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error && error != http::error::need_more)
      return OnParseError(error);
    if (parser_->is_header_done() && !has_checked_header_) {
      has_checked_header_ = true;
      if (!CheckHeader())
        return;
      parser_->eager(true);
    }
    if (parser_->is_header_done() && !ReserveBody())
      return;
    if (parser_->is_done()) {
      OnRequest();
      continue;
    }
    const bool needs_more = used == 0 || error == http::error::need_more;
    if (needs_more && parser_->is_header_done() &&
        buffer_.size() > kMaxFramingBytes) {
      return Refuse(http::status::bad_request, "malformed", "malformed request",
                    "chunk framing too long");
    }
    if (needs_more)
      break;
  }
  if (must_send_continue_ && pending_.empty() && !is_writing_)
    SendContinue();
}

void caller_session::ReadLimits() {
  limits_ = host_->limits();
  limits_version_ = host_->state_version();
  parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
  // Without a desired state, CheckHeader rejects every request with a body.
  parser_->body_limit(limits_version_ == 0
                          ? std::numeric_limits<std::uint64_t>::max()
                          : limits_.body_bytes);
}

bool caller_session::CheckHeader() {
  const http_request& request = parser_->get();
  const boost::beast::string_view coding =
      request[http::field::transfer_encoding];
  const bool is_plain_coding =
      coding.empty() || boost::beast::iequals(coding, "chunked");
  const bool has_host = request.count(http::field::host) == 1 &&
                        !request[http::field::host].empty();
  const bool has_path =
      !request.target().empty() && request.target().front() == '/';
  if (!is_plain_coding || !has_host || !has_path) {
    std::string detail = "path";
    if (!is_plain_coding)
      detail = "transfer_encoding";
    else if (!has_host)
      detail = "host";
    Refuse(http::status::bad_request, "malformed", "malformed request",
           std::move(detail));
    return false;
  }
  if (limits_version_ == 0 && !parser_->is_done()) {
    RefuseWithoutDesiredState();
    return false;
  }
  const bool expects_continue =
      boost::beast::iequals(request[http::field::expect], "100-continue");
  must_send_continue_ = expects_continue && !parser_->is_done();
  return true;
}

bool caller_session::ReserveBody() {
  const boost::optional<std::uint64_t> length = parser_->content_length();
  const std::size_t needed =
      length ? static_cast<std::size_t>(*length) : parser_->get().body().size();
  if (needed <= reserved_bytes_)
    return true;
  if (host_->reserve(needed - reserved_bytes_)) {
    reserved_bytes_ = needed;
    return true;
  }
  Refuse(http::status::service_unavailable, "body_memory",
         "no memory for the body", std::to_string(needed) + " bytes");
  return false;
}

void caller_session::OnRequest() {
  caller_request request;
  request.message = parser_->release();
  const bool keeps_alive = request.message.keep_alive();
  parser_.reset();
  must_send_continue_ = false;
  request.arrival = event_loop::Now();
  request.session = shared_from_this();
  request.number = next_number_++;
  pending_answer pending;
  pending.number = request.number;
  pending.wants_close = !keeps_alive;
  pending_.push_back(std::move(pending));
  is_closing_ |= !keeps_alive;
  // The receiver of the request releases the reserved body memory.
  reserved_bytes_ = 0;
  host_->handle(std::move(request));
}

void caller_session::OnParseError(const boost::system::error_code& error) {
  if (error == http::error::header_limit && limits_version_ == 0)
    return RefuseWithoutDesiredState();
  if (error == http::error::header_limit) {
    return Refuse(http::status::request_header_fields_too_large, "header_limit",
                  "header exceeds the limit",
                  "limit " + std::to_string(limits_.header_bytes) + " bytes");
  }
  if (error == http::error::body_limit) {
    return Refuse(http::status::payload_too_large, "body_limit",
                  "body exceeds the limit",
                  "limit " + std::to_string(limits_.body_bytes) + " bytes");
  }
  Refuse(http::status::bad_request, "malformed", "malformed request",
         error.message());
}

void caller_session::RefuseWithoutDesiredState() {
  Refuse(http::status::service_unavailable, "no_desired_state",
         "no desired state is known", "");
}

void caller_session::Refuse(http::status status,
                            std::string_view reason,
                            std::string_view text,
                            std::string detail) {
  refused_request refused;
  refused.message = &parser_->get();
  refused.status = status;
  refused.reason = reason;
  refused.detail = std::move(detail);
  refused.state_version = limits_version_;
  host_->refused(refused);
  pending_answer refusal;
  refusal.number = next_number_++;
  refusal.is_ready = true;
  refusal.wants_close = true;
  refusal.response.result(status);
  refusal.response.set(http::field::content_type, "text/plain");
  refusal.response.body() = std::string(text) + "\n";
  if (status == http::status::service_unavailable)
    refusal.response.set(http::field::retry_after, kRetryAfter);
  pending_.push_back(std::move(refusal));
  is_closing_ = true;
  must_send_continue_ = false;
  parser_.reset();
  Flush();
}

void caller_session::SendContinue() {
  must_send_continue_ = false;
  is_writing_ = true;
  outgoing_ = "HTTP/1.1 100 Continue\r\n\r\n";
  boost::asio::async_write(
      socket_, boost::asio::buffer(outgoing_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t) {
        self->is_writing_ = false;
        if (error)
          return self->OnIoError(error);
        self->Flush();
      });
  watch_.WatchWrite(kStallTimeout);
}

void caller_session::ArmTimer() {
  if (host_ == nullptr)
    return;
  const caller_limits limits = host_->limits();
  time_span limit = limits.idle_timeout;
  if (is_writing_ || (parser_ && parser_->is_header_done()))
    limit = kStallTimeout;
  else if (parser_)
    limit = limits.header_timeout;
  else if (!pending_.empty())
    limit = time_span::max();
  if (limit == time_span::max()) {
    timer_.cancel();
    return;
  }
  // Don't restart the header timeout for each fragment of a header.
  const bool is_mid_header = parser_ && !parser_->is_header_done();
  if (is_mid_header && timer_.expiry() > event_loop::Now() &&
      timer_.expiry() <= event_loop::Now() + limit) {
    return;
  }
  timer_.expires_after(limit);
  timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const std::shared_ptr<caller_session> self = weak.lock();
        if (!error && self)
          self->OnTimeout();
      });
}

void caller_session::OnTimeout() {
  if (host_ == nullptr || timer_.expiry() > event_loop::Now())
    return;
  if (parser_ && !is_writing_) {
    Refuse(http::status::request_timeout, "slow_request",
           "request sent too slowly",
           parser_->is_header_done() ? "body" : "header");
    return;
  }
  if (is_writing_)
    return LoseCaller("stalled");
  if (pending_.empty())
    OnCallerDisconnected();
}

caller_session::pending_answer* caller_session::FindUnanswered(
    std::uint64_t number) {
  for (pending_answer& each : pending_) {
    if (each.number == number && !each.is_ready)
      return &each;
  }
  return nullptr;
}

void caller_session::Respond(std::uint64_t number,
                             http_response response,
                             bool is_head,
                             std::shared_ptr<const void> memory) {
  if (pending_answer* const answered = FindUnanswered(number)) {
    answered->is_ready = true;
    answered->response = std::move(response);
    answered->is_head = is_head;
    answered->memory = std::move(memory);
    answered->disconnect_callback = nullptr;
  }
  Flush();
}

void caller_session::SetDisconnectCallback(std::uint64_t number,
                                           std::function<void()> callback) {
  if (pending_answer* const waiting = FindUnanswered(number))
    waiting->disconnect_callback = std::move(callback);
}

void caller_session::Flush() {
  if (host_ == nullptr || is_writing_)
    return;
  if (pending_.empty()) {
    if (must_send_continue_)
      SendContinue();
    return;
  }
  if (!pending_.front().is_ready)
    return;
  const pending_answer ready = std::move(pending_.front());
  pending_.pop_front();
  // While draining, close only after the last response: the caller would have
  // to resend requests pipelined behind a response that closes the connection.
  const bool is_last = pending_.empty() && !parser_ && buffer_.size() == 0;
  const bool closes = ready.wants_close || (is_draining_ && is_last);
  is_closing_ |= closes;
  is_writing_ = true;
  outgoing_ = SerializeResponse(ready.response, closes, ready.is_head);
  outgoing_memory_ = ready.memory;
  ArmTimer();
  boost::asio::async_write(
      socket_, boost::asio::buffer(outgoing_),
      [self = shared_from_this(), closes](
          const boost::system::error_code& error, std::size_t) {
        self->is_writing_ = false;
        self->outgoing_ = std::string();
        self->outgoing_memory_.reset();
        if (error)
          return self->OnIoError(error);
        self->OnWritten(closes);
      });
  watch_.WatchWrite(kStallTimeout);
}

void caller_session::OnWritten(bool closes) {
  if (host_ == nullptr)
    return;
  if (closes)
    return Linger();
  Flush();
  Parse();
  ArmTimer();
  Read();
}

void caller_session::Linger() {
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  is_closing_ = true;
  timer_.expires_after(kLingerTime);
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
          self->OnCallerDisconnected();
      });
  Read();
}

void caller_session::Drain(bool close_idle) {
  is_draining_ = true;
  if (close_idle && is_idle() && buffer_.size() == 0 && !is_writing_)
    OnCallerDisconnected();
}

void caller_session::Close() {
  if (host_ != nullptr)
    host_->release(reserved_bytes_);
  reserved_bytes_ = 0;
  host_ = nullptr;
  timer_.cancel();
  watch_.Stop();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void caller_session::OnIoError(const boost::system::error_code& error) {
  if (error == boost::asio::error::timed_out)
    return LoseCaller("unreachable");
  OnCallerDisconnected();
}

void caller_session::LoseCaller(std::string_view reason) {
  ReportLoss(reason);
  OnCallerDisconnected();
}

void caller_session::ReportLoss(std::string_view reason) {
  if (host_ == nullptr)
    return;
  boost::system::error_code ignored;
  lost_caller lost;
  lost.address = socket_.remote_endpoint(ignored).address().to_string();
  lost.reason = reason;
  lost.unanswered = pending_.size() + (is_writing_ ? 1 : 0);
  host_->lost(lost);
}

void caller_session::OnCallerDisconnected() {
  const std::shared_ptr<caller_session> self = shared_from_this();
  for (const std::function<void()>& callback : EndConnection())
    callback();
}

std::vector<std::function<void()>> caller_session::EndConnection() {
  std::vector<std::function<void()>> callbacks;
  if (host_ == nullptr)
    return callbacks;
  for (pending_answer& each : pending_) {
    if (each.disconnect_callback)
      callbacks.push_back(std::move(each.disconnect_callback));
  }
  pending_.clear();
  session_host* host = host_;
  Close();
  host->closed(*this);
  return callbacks;
}

bool caller_session::IsStalled(monotonic_time now) const {
  return watch_.stalled_for(now) >= kGiveWayTime;
}

std::size_t caller_session::held_answer_bytes() const {
  std::size_t bytes = outgoing_.size();
  for (const pending_answer& each : pending_)
    bytes += each.response.body().size();
  return bytes;
}

void caller_session::GiveWay() {
  const std::shared_ptr<caller_session> self = shared_from_this();
  ReportLoss("memory");
  outgoing_memory_.reset();
  // A callback may end the exchange that needs the memory.
  boost::asio::post(socket_.get_executor(), [callbacks = EndConnection()] {
    for (const std::function<void()>& callback : callbacks)
      callback();
  });
}

}  // namespace papayakeel
