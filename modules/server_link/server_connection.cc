// Sends one request and reads its response. Checks that the response is
// complete and belongs to the request.
#include "modules/server_link/server_connection.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/beast/http.hpp>

#include "drivers/event_loop.h"
#include "drivers/socket_options.h"

namespace papayakeel {
namespace detail {

namespace {

// A connection that is not established within this time counts as refused.
// Connecting usually takes 1 ms.
constexpr time_span kConnectTimeout = std::chrono::milliseconds(500);

// Interim responses that are read before the final one. A server that writes
// more of them may never end.
constexpr int kMaxInterimAnswers = 16;

constexpr unsigned kFirstFinalStatus = 200;

// Response header with which a server announces that it accepts no further
// requests.
constexpr char kDrainingHeader[] = "Papayakeel-Draining";

}  // namespace

server_connection::server_connection(boost::asio::io_context& context,
                                     network_address endpoint)
    : endpoint_(std::move(endpoint)),
      stream_(context),
      watch_(context,
             {nullptr,
              [this] {
                if (!done_)
                  return Close();
                Finish(FailureResult());
              }}),
      deadline_timer_(context),
      silence_timer_(context) {}

void server_connection::Run(exchange_request exchange, exchange_callback done) {
  exchange_ = std::move(exchange);
  done_ = std::move(done);
  has_sent_ = false;
  is_leaving_ = false;
  is_clean_ = false;
  interim_answers_ = 0;
  reader_.Drop();
  deadline_timer_.expires_at(exchange_.deadline);
  deadline_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const std::shared_ptr<server_connection> self = weak.lock();
        if (!error && self && self->done_)
          self->Finish(self->FailureResult());
      });
  if (is_open_) {
    StartSilenceTimer();
    return Write();
  }
  boost::system::error_code error;
  const boost::asio::ip::address host =
      boost::asio::ip::make_address(endpoint_.host, error);
  if (error)
    return Finish(attempt_result::kNotRun);
  stream_.expires_after(kConnectTimeout);
  stream_.async_connect(boost::asio::ip::tcp::endpoint(host, endpoint_.port),
                        [self = shared_from_this()](
                            const boost::system::error_code& connect_error) {
                          if (!self->done_)
                            return;
                          if (connect_error)
                            return self->Finish(attempt_result::kNotRun);
                          self->is_open_ = true;
                          self->opened_at_ = event_loop::Now();
                          const int handle =
                              self->stream_.socket().native_handle();
                          SetLowLatencyOptions(handle);
                          self->watch_.Start(handle);
                          self->Write();
                        });
}

void server_connection::StartSilenceTimer() {
  if (exchange_.first_byte_timeout == time_span::zero())
    return;
  silence_timer_.expires_after(exchange_.first_byte_timeout);
  silence_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const std::shared_ptr<server_connection> self = weak.lock();
        if (error || !self || !self->done_)
          return;
        if (self->interim_answers_ == 0 && !self->reader_.has_bytes())
          self->Finish(attempt_result::kStaleConnection);
      });
}

void server_connection::Abandon() {
  done_ = nullptr;
  deadline_timer_.cancel();
  silence_timer_.cancel();
  Close();
}

bool server_connection::IsReusable() const {
  if (!is_open_ || !is_clean_ || reader_.has_surplus())
    return false;
  // Unsolicited bytes and an end of stream both rule out reuse.
  return HasNothingToRead(
      const_cast<server_connection*>(this)->stream_.socket().native_handle());
}

void server_connection::Close() {
  is_open_ = false;
  is_clean_ = false;
  watch_.Stop();
  stream_.close();
}

void server_connection::Write() {
  stream_.expires_never();
  outgoing_ = *exchange_.request;
  const monotonic_time server_deadline =
      exchange_.server_deadline == monotonic_time() ? exchange_.deadline
                                                    : exchange_.server_deadline;
  const std::int64_t left =
      std::chrono::duration_cast<std::chrono::milliseconds>(server_deadline -
                                                            event_loop::Now())
          .count();
  if (left <= 0)
    return Finish(attempt_result::kNotRun);
  outgoing_.set("Papayakeel-Deadline-Ms", std::to_string(left));
  outgoing_.set("Papayakeel-Request-Id", std::to_string(exchange_.id));
  has_sent_ = true;
  is_writing_ = true;
  http::async_write(stream_, outgoing_,
                    [self = shared_from_this()](
                        const boost::system::error_code& error, std::size_t) {
                      // A server may respond early and close the connection,
                      // therefore the read goes on even after a write error.
                      self->is_writing_ = error.failed();
                      if (error)
                        self->reader_.OnWriteFailed();
                    });
  // A server may read a long body late.
  watch_.WatchWrite(exchange_.deadline - event_loop::Now());
  Read();
}

void server_connection::Read() {
  answer_limits limits;
  limits.body_bytes = exchange_.max_answer_bytes;
  limits.is_head = outgoing_.method() == http::verb::head;
  reader_.Start(limits);
  OnState(reader_.Parse());
}

void server_connection::ReadSome() {
  stream_.async_read_some(
      reader_.Prepare(),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        if (self->done_)
          self->OnState(self->reader_.Receive(error, size));
      });
}

void server_connection::OnState(answer_state state) {
  if (state == answer_state::kIncomplete)
    return ReadSome();
  if (state == answer_state::kBroken)
    return Finish(FailureResult());
  if (reader_.answer().result_int() >= kFirstFinalStatus)
    return OnResponse();
  ++interim_answers_;
  if (interim_answers_ > kMaxInterimAnswers)
    return Finish(attempt_result::kUnknown);
  Read();
}

void server_connection::OnResponse() {
  const answer_reader::message& answer = reader_.answer();
  // A response that is delimited only by the end of the connection cannot be
  // distinguished from a truncated one.
  if (reader_.ends_with_connection() && !answer.has_content_length())
    return Finish(attempt_result::kUnknown);
  if (!exchange_.answer_id_header.empty()) {
    const bool has_matching_id =
        answer[exchange_.answer_id_header] == std::to_string(exchange_.id);
    if (!has_matching_id)
      return Finish(attempt_result::kUnknown);
  }
  is_leaving_ = answer.find(kDrainingHeader) != answer.end();
  is_clean_ = !is_writing_ && answer.keep_alive();
  Finish(attempt_result::kAnswered);
}

void server_connection::Finish(attempt_result result) {
  deadline_timer_.cancel();
  silence_timer_.cancel();
  exchange_result ended;
  ended.result = result;
  ended.is_leaving = is_leaving_;
  if (result == attempt_result::kAnswered) {
    ended.response = reader_.Release();
    has_carried_exchange_ = true;
    last_used_at_ = event_loop::Now();
  }
  if (!is_clean_)
    Close();
  else
    reader_.Shrink();
  const exchange_callback done = std::move(done_);
  done_ = nullptr;
  done(std::move(ended));
}

attempt_result server_connection::FailureResult() const {
  if (!has_sent_)
    return attempt_result::kNotRun;
  const bool has_received_bytes = interim_answers_ > 0 || reader_.has_bytes();
  if (has_carried_exchange_ && !has_received_bytes)
    return attempt_result::kStaleConnection;
  return attempt_result::kUnknown;
}

}  // namespace detail
}  // namespace papayakeel
