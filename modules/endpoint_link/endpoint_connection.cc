// Sends one request, reads the answer, and checks that the answer is complete
// and belongs to the request.
#include "modules/endpoint_link/endpoint_connection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <utility>

#include <boost/asio/write.hpp>

#include "drivers/event_loop.h"
#include "drivers/socket_options.h"
#include "drivers/tcp_state.h"

namespace papayakeel {
namespace detail {

namespace {

// An endpoint that does not accept a connection within this time counts as
// unreachable. Connecting takes about 1 ms; a lost SYN is retransmitted only
// after seconds.
constexpr time_span kConnectTimeout = std::chrono::milliseconds(250);

// Idle time after which a connection is not reused when the endpoint sends no
// Keep-Alive timeout.
constexpr time_span kDefaultIdleTimeout = std::chrono::seconds(4);
// Subtracted from the endpoint's idle timeout: a request sent just before the
// timeout must arrive before the endpoint closes the connection.
constexpr time_span kIdleTimeoutMargin = std::chrono::milliseconds(1200);

// Interim answers and answers to earlier exchanges that are read before the
// answer to a request. An endpoint that writes more of them may never end.
constexpr int kMaxSkippedAnswers = 16;

// Refusals after which a connection is not reused, which bounds the ids that it
// remembers. One new connection in this many refusals costs next to nothing.
constexpr std::size_t kMaxRememberedRefusals = 64;

// Shorter transfers are not notified while they run, which keeps messages to
// owners few. Work takes several times as long.
constexpr time_span kMinNotifiedTransfer = std::chrono::milliseconds(20);

constexpr unsigned kMisdirectedStatus = 421;
constexpr unsigned kFirstServerErrorStatus = 500;
constexpr unsigned kFirstFinalStatus = 200;

constexpr std::string_view kNoMemory = "no memory for the answer";
constexpr char kSilent[] = "endpoint takes no bytes and answers no probes";

constexpr std::string_view kTimeoutParameter = "timeout=";

// Returns the seconds of `timeout=N` in the value of a Keep-Alive header.
std::optional<int> ParseKeepAliveTimeout(std::string_view value) {
  const std::size_t found = value.find(kTimeoutParameter);
  if (found == std::string_view::npos)
    return std::nullopt;
  value.remove_prefix(found + kTimeoutParameter.size());
  int seconds = 0;
  const std::from_chars_result parsed =
      std::from_chars(value.data(), value.data() + value.size(), seconds);
  if (parsed.ec != std::errc())
    return std::nullopt;
  return seconds;
}

// Longer cold periods overflow times.
constexpr std::uint64_t kMaxWarmUpMs = 3'600'000;

std::optional<time_span> ReadWarmUp(std::string_view text) {
  std::uint64_t number = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_valid = parsed.ec == std::errc() &&
                        parsed.ptr == text.data() + text.size() &&
                        number <= kMaxWarmUpMs;
  if (!is_valid)
    return std::nullopt;
  return std::chrono::milliseconds(number);
}

}  // namespace

endpoint_connection::endpoint_connection(boost::asio::io_context& context,
                                         const caller_contract& contract,
                                         std::shared_ptr<answer_memory> memory,
                                         endpoint_leaving_hook on_leaving)
    : contract_(contract),
      stream_(context),
      watch_(context,
             {nullptr,
              [this] {
                if (!done_)
                  return Close();
                Finish(attempt_outcome::kBroken, kSilent);
              }}),
      deadline_timer_(context),
      memory_(std::move(memory)),
      on_leaving_(std::move(on_leaving)) {}

void endpoint_connection::Run(endpoint_exchange exchange,
                              endpoint_callback done) {
  exchange_ = std::move(exchange);
  done_ = std::move(done);
  has_sent_ = false;
  has_timed_out_ = false;
  is_clean_ = false;
  skipped_ = 0;
  reader_.Drop();
  deadline_timer_.expires_at(exchange_.deadline);
  deadline_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const std::shared_ptr<endpoint_connection> self = weak.lock();
        if (error || !self || !self->done_)
          return;
        self->has_timed_out_ = true;
        self->Finish(self->has_sent_ ? attempt_outcome::kBroken
                                     : attempt_outcome::kUnreachable,
                     "no answer in time");
      });
  if (is_open_)
    return Write();
  boost::system::error_code error;
  const boost::asio::ip::address host =
      boost::asio::ip::make_address(exchange_.address.host, error);
  if (error) {
    boost::asio::post(stream_.get_executor(), [self = shared_from_this()] {
      if (self->done_)
        self->Finish(attempt_outcome::kUnreachable, "bad address");
    });
    return;
  }
  stream_.expires_after(kConnectTimeout);
  stream_.async_connect(
      boost::asio::ip::tcp::endpoint(host, exchange_.address.port),
      [self = shared_from_this()](const boost::system::error_code& failure) {
        if (!self->done_)
          return;
        if (failure) {
          return self->Finish(attempt_outcome::kUnreachable, failure.message());
        }
        self->is_open_ = true;
        const int handle = self->stream_.socket().native_handle();
        SetLowLatencyOptions(handle);
        self->watch_.Start(handle);
        if (!self->exchange_.may_send()) {
          return self->Finish(attempt_outcome::kNotSent,
                              "endpoint is leaving or evacuated");
        }
        self->Write();
      });
}

void endpoint_connection::Abandon() {
  done_ = nullptr;
  deadline_timer_.cancel();
  share_.reset();
  Close();
}

void endpoint_connection::Close() {
  is_open_ = false;
  is_clean_ = false;
  watch_.Stop();
  stream_.close();
}

bool endpoint_connection::IsReusable(monotonic_time now) {
  if (!is_open_ || !is_clean_ || reader_.has_surplus() || now >= idle_deadline_)
    return false;
  if (has_anonymous_refusal_ || refused_ids_.size() >= kMaxRememberedRefusals)
    return false;
  // Unsolicited bytes and an end of stream both prevent reuse.
  return HasNothingToRead(stream_.socket().native_handle());
}

void endpoint_connection::Write() {
  stream_.expires_never();
  has_sent_ = true;
  is_writing_ = true;
  const std::array<boost::asio::const_buffer, 2> buffers{
      boost::asio::buffer(exchange_.header),
      exchange_.body ? boost::asio::buffer(*exchange_.body)
                     : boost::asio::const_buffer()};
  boost::asio::async_write(
      stream_, buffers,
      [self = shared_from_this(), body = exchange_.body](
          const boost::system::error_code& error, std::size_t) {
        // After an error the connection is not reused, but the endpoint may
        // have sent an answer already, so the read goes on.
        self->is_writing_ = error.failed();
        if (error)
          self->reader_.OnWriteFailed();
      });
  // An endpoint may read a long body late.
  watch_.WatchWrite(exchange_.deadline - event_loop::Now());
  Read();
}

void endpoint_connection::Read() {
  answer_limits limits;
  limits.body_bytes = memory_->single_limit();
  limits.is_head = exchange_.is_head;
  reader_.Start(limits);
  transfer_started_at_.reset();
  has_notified_transfer_ = false;
  share_ = std::make_shared<answer_share>(memory_, exchange_.endpoint_id,
                                          [this] { EndLaterForMemory(); });
  OnState(reader_.Parse());
}

void endpoint_connection::ReadSome(const boost::asio::mutable_buffer& buffer) {
  stream_.async_read_some(
      buffer, [self = shared_from_this()](
                  const boost::system::error_code& error, std::size_t size) {
        if (!self->done_)
          return;
        if (error == boost::asio::error::eof && self->is_writing_)
          self->CheckUnfinishedWrite();
        self->OnState(self->reader_.Receive(error, size));
      });
}

void endpoint_connection::CheckUnfinishedWrite() {
  const std::optional<tcp_state> state =
      ReadTcpState(stream_.socket().native_handle());
  if (state && state->is_closed)
    reader_.OnWriteFailed();
}

void endpoint_connection::OnState(answer_state state) {
  if (state == answer_state::kBroken)
    return Finish(attempt_outcome::kBroken, reader_.error());
  const bool is_complete = state == answer_state::kComplete;
  const boost::asio::mutable_buffer next =
      is_complete ? boost::asio::mutable_buffer() : reader_.Prepare();
  if (!share_->Resize(reader_.held_bytes()))
    return Discard(std::string(kNoMemory));
  WatchTransfer(is_complete);
  if (is_complete)
    return HandleAnswer();
  ReadSome(next);
}

void endpoint_connection::WatchTransfer(bool is_complete) {
  if (reader_.body_bytes() == 0)
    return;
  const monotonic_time now = event_loop::Now();
  if (!transfer_started_at_)
    transfer_started_at_ = now;
  const answer_transfer transfer{reader_.expected_body_bytes(),
                                 now - *transfer_started_at_};
  const bool is_due = !is_complete && !has_notified_transfer_ &&
                      transfer.elapsed >= kMinNotifiedTransfer;
  if (!is_due || IsForOtherExchange())
    return;
  has_notified_transfer_ = true;
  exchange_.on_transfer(transfer);
}

void endpoint_connection::EndLaterForMemory() {
  boost::asio::post(stream_.get_executor(), [self = shared_from_this(),
                                             share = std::weak_ptr(share_)] {
    // The next answer has another share.
    if (self->done_ && self->share_ && self->share_ == share.lock())
      self->Discard(std::string(kNoMemory));
  });
}

void endpoint_connection::Skip() {
  ++skipped_;
  if (skipped_ > kMaxSkippedAnswers)
    return Discard("too many answers to other requests");
  Read();
}

void endpoint_connection::Discard(std::string detail) {
  reader_.Drop();
  Finish(attempt_outcome::kBroken, std::move(detail));
}

void endpoint_connection::HandleAnswer() {
  const answer_reader::message& answer = reader_.answer();
  if (answer.result_int() < kFirstFinalStatus)
    return Skip();
  if (IsRefusal())
    RememberRefusal();
  if (AnnouncesLeaving())
    on_leaving_(exchange_);
  // A late or repeated answer to an earlier exchange is skipped.
  if (IsForOtherExchange())
    return Skip();
  const attempt_outcome outcome = Classify();
  share_->Complete();
  is_clean_ =
      !is_writing_ && answer.keep_alive() && !reader_.ends_with_connection();
  Finish(outcome,
         outcome == attempt_outcome::kBroken ? "answer without proof" : "");
}

bool endpoint_connection::IsRefusal() const {
  const answer_reader::message& answer = reader_.answer();
  return answer.result_int() == kMisdirectedStatus ||
         answer.find(contract_.headers.not_run) != answer.end();
}

bool endpoint_connection::AnnouncesLeaving() const {
  const answer_reader::message& answer = reader_.answer();
  const header_names& names = contract_.headers;
  // Another endpoint at the address speaks for itself.
  const auto id = answer.find(names.endpoint_id);
  const bool is_from_other =
      answer.result_int() == kMisdirectedStatus ||
      (id != answer.end() && id->value() != exchange_.endpoint_id);
  if (is_from_other)
    return false;
  const auto values = answer.equal_range(names.endpoint_leaving);
  return std::any_of(values.first, values.second, [this](const auto& each) {
    return contract_.read_leaving(ToStringView(each.value()));
  });
}

bool endpoint_connection::IsForOtherExchange() const {
  const answer_reader::message& answer = reader_.answer();
  const auto id = answer.find(contract_.headers.request_id);
  return id != answer.end() && id->value() != exchange_.request_id;
}

void endpoint_connection::RememberRefusal() {
  const answer_reader::message& answer = reader_.answer();
  const auto id = answer.find(contract_.headers.request_id);
  if (id == answer.end()) {
    has_anonymous_refusal_ = true;
    return;
  }
  refused_ids_.insert(std::hash<std::string_view>()(ToStringView(id->value())));
}

bool endpoint_connection::MayCarry(std::string_view request_id) const {
  return refused_ids_.count(std::hash<std::string_view>()(request_id)) == 0;
}

attempt_outcome endpoint_connection::Classify() const {
  const answer_reader::message& answer = reader_.answer();
  const header_names& names = contract_.headers;
  if (exchange_.request_id.empty())
    return attempt_outcome::kAnswered;
  const bool has_proof = answer.find(names.answer_proof) != answer.end();
  const std::size_t ids = answer.count(names.request_id);
  if (IsRefusal()) {
    // The head of a refusal that broke off may run into that of the answer to
    // this request, which then bears a proof or a further id.
    const bool is_certain =
        !has_proof && (ids == 1 || (ids == 0 && !has_carried_exchange_));
    if (!is_certain)
      return attempt_outcome::kBroken;
    return answer.result_int() == kMisdirectedStatus
               ? attempt_outcome::kMisdirected
               : attempt_outcome::kRejected;
  }
  if (!has_proof || ids == 0)
    return attempt_outcome::kBroken;
  return answer.result_int() >= kFirstServerErrorStatus
             ? attempt_outcome::kServerError
             : attempt_outcome::kAnswered;
}

void endpoint_connection::UpdateIdleDeadline(
    const answer_reader::message& answer) {
  const std::optional<int> reported =
      ParseKeepAliveTimeout(ToStringView(answer[http::field::keep_alive]));
  const time_span limit =
      reported ? std::chrono::seconds(*reported) - kIdleTimeoutMargin
               : kDefaultIdleTimeout;
  idle_deadline_ = event_loop::Now() + limit;
}

void endpoint_connection::Finish(attempt_outcome outcome, std::string detail) {
  deadline_timer_.cancel();
  endpoint_result result;
  result.outcome = outcome;
  result.has_timed_out = has_timed_out_;
  result.was_reused = has_carried_exchange_;
  result.detail = std::move(detail);
  if (reader_.is_complete()) {
    const answer_reader::message& answer = reader_.answer();
    const auto load = answer.find(contract_.headers.endpoint_load);
    if (load != answer.end())
      result.load = contract_.read_load(ToStringView(load->value()));
    const auto warm_up = answer.find(contract_.headers.endpoint_warm_up);
    if (result.load && warm_up != answer.end())
      result.load->warm_up_left = ReadWarmUp(ToStringView(warm_up->value()));
    UpdateIdleDeadline(answer);
    if (transfer_started_at_) {
      result.transfer = {reader_.body_bytes(),
                         event_loop::Now() - *transfer_started_at_};
    }
    result.response = reader_.Release();
    result.memory = std::move(share_);
    has_carried_exchange_ = true;
  }
  share_.reset();
  if (!is_clean_)
    Close();
  else
    reader_.Shrink();
  const endpoint_callback done = std::move(done_);
  done_ = nullptr;
  done(std::move(result));
}

}  // namespace detail
}  // namespace papayakeel
