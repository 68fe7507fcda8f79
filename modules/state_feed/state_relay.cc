// Change history and pending watches of a relay.
#include "modules/state_feed/state_relay.h"

#include <algorithm>
#include <utility>

#include "drivers/event_loop.h"
#include "modules/http/body_compression.h"

namespace papayakeel {

namespace {

// Changes kept for watches. A follower that is further behind must read a full
// listing.
constexpr std::size_t kMaxHistory = 4096;

// No older than the state of a reader may be.
constexpr time_span kConfirmationAge = std::chrono::milliseconds(800);

// A store that is slow answers in 400 ms; a follower that waits longer for a
// process which the store has turned away finds another one too late.
constexpr time_span kMaxHold = std::chrono::milliseconds(200);

// A desired state of thousands of routes takes a second on the link of a small
// VM, and its copies for all followers fill that of a reader for several.
constexpr std::size_t kMinCompressedBytes = 1 << 10;
// Followers that are behind by different changes need an answer each.
constexpr std::size_t kMaxCompressedAnswers = 16;

constexpr unsigned kHttp11 = 11;

}  // namespace

state_relay::state_relay(service_registry& registry,
                         const entry_settings& settings,
                         store_contract contract)
    : registry_(registry),
      settings_(settings),
      contract_(std::move(contract)) {}

state_relay::~state_relay() = default;

void state_relay::Start() {
  loop_ = registry_.Find<event_loop>(event_loop::kName);
}

void state_relay::Stop() {
  is_stopped_ = true;
  waiting_.clear();
  if (listener_)
    listener_->Close();
}

bool state_relay::Listen() {
  http_listener_settings listener;
  listener.listen = settings_.relay_listen;
  http_listener_hooks hooks;
  hooks.handle = [this](const http_exchange& exchange) { Handle(exchange); };
  listener_ = std::make_unique<http_listener>(loop_->context(), listener,
                                              std::move(hooks));
  return listener_->Start().has_value();
}

void state_relay::SetListing(const std::vector<store_change>& items,
                             const store_position& as_of) {
  items_.clear();
  compressed_answers_.clear();
  for (const store_change& item : items)
    items_[item.key] = {item.revision, item.original};
  history_.clear();
  history_from_ = as_of.revision;
  as_of_ = as_of;
  has_listing_ = true;
  AnswerWaiting();
}

void state_relay::AddChanges(const std::vector<store_change>& changes,
                             const store_position& as_of) {
  compressed_answers_.clear();
  for (const store_change& change : changes) {
    if (std::holds_alternative<removed_entry>(change.value))
      items_.erase(change.key);
    else
      items_[change.key] = {change.revision, change.original};
    history_.push_back({change.revision, change.original});
  }
  while (history_.size() > kMaxHistory) {
    history_from_ = history_.front().revision;
    history_.pop_front();
  }
  as_of_ = std::max(as_of_, as_of);
  AnswerWaiting();
}

void state_relay::SetFresh(bool is_fresh) {
  if (is_fresh_ == is_fresh)
    return;
  is_fresh_ = is_fresh;
  AnswerWaiting();
}

void state_relay::SetConfirmed() {
  confirmed_until_ = event_loop::Now() + kConfirmationAge;
}

bool state_relay::MayAnswer(const store_request& question) const {
  if (!has_listing_ || is_fresh_)
    return has_listing_;
  return question.is_watch && question.wait <= kNoWait &&
         event_loop::Now() < confirmed_until_;
}

time_span state_relay::WaitOf(const store_request& question) {
  // A call without a wait is that of a process that starts.
  if (!question.is_watch || question.wait <= kNoWait)
    return time_span{0};
  const bool is_reading = asked_hook_();
  if (!has_listing_)
    return time_span{0};
  if (is_fresh_)
    return IsUpToDate(question) ? question.wait : time_span{0};
  return is_reading ? std::min(question.wait, kMaxHold) : time_span{0};
}

void state_relay::Handle(const http_exchange& exchange) {
  const std::optional<store_request> question =
      contract_.parse_request(ToStringView(exchange.request.target()));
  if (!question)
    return exchange.respond(http_response(http::status::not_found, kHttp11));
  const bool may_compress =
      ToStringView(exchange.request[http::field::accept_encoding]) ==
      kGzipEncoding;
  const relay_call call = {*question, may_compress, exchange.respond};
  const time_span wait = WaitOf(*question);
  if (wait == time_span{0})
    return Answer(call);
  const std::uint64_t number = next_watch_++;
  waiting_watch& waiting = waiting_[number];
  waiting.call = call;
  waiting.timer =
      std::make_unique<boost::asio::steady_timer>(loop_->context(), wait);
  exchange.on_disconnect([this, number] {
    if (!is_stopped_)
      waiting_.erase(number);
  });
  waiting.timer->async_wait(
      [this, number](const boost::system::error_code& error) {
        if (!error && !is_stopped_)
          AnswerWatch(number);
      });
}

void state_relay::AnswerWatch(std::uint64_t number) {
  const auto found = waiting_.find(number);
  if (found == waiting_.end())
    return;
  const waiting_watch ended = std::move(found->second);
  waiting_.erase(found);
  Answer(ended.call);
}

void state_relay::AnswerWaiting() {
  std::vector<std::uint64_t> due;
  for (const auto& [number, waiting] : waiting_) {
    if (!is_fresh_ || !IsUpToDate(waiting.call.question))
      due.push_back(number);
  }
  for (const std::uint64_t number : due)
    AnswerWatch(number);
}

bool state_relay::IsUpToDate(const store_request& watch) const {
  return watch.after_era.value_or(as_of_.era) == as_of_.era &&
         watch.after_revision >= as_of_.revision;
}

void state_relay::Answer(const relay_call& call) {
  const store_request& question = call.question;
  if (!MayAnswer(question)) {
    return call.respond(
        http_response(http::status::service_unavailable, kHttp11));
  }
  http_response response(http::status::ok, kHttp11);
  const bool is_history_gone =
      question.is_watch &&
      (question.after_era.value_or(as_of_.era) != as_of_.era ||
       question.after_revision < history_from_);
  if (is_history_gone) {
    response.result(contract_.history_gone_status);
    return call.respond(std::move(response));
  }
  ++answers_;
  response.set(http::field::content_type, "application/json");
  contract_.write_era(response, as_of_.era);
  SetBody(call, response);
  call.respond(std::move(response));
}

std::string state_relay::WriteAnswer(const store_request& question) const {
  std::vector<std::string> originals;
  if (question.is_watch) {
    for (const kept_change& change : history_) {
      if (change.revision > question.after_revision)
        originals.push_back(change.original);
    }
  } else {
    for (const auto& [key, item] : items_)
      originals.push_back(item.original);
  }
  return contract_.write_answer(
      question, originals, std::max(as_of_.revision, question.after_revision));
}

void state_relay::SetBody(const relay_call& call, http_response& response) {
  const answer_key key = {call.question.is_watch, call.question.after_revision};
  const auto known = call.may_compress ? compressed_answers_.find(key)
                                       : compressed_answers_.end();
  if (known != compressed_answers_.end()) {
    response.body() = known->second;
  } else {
    std::string body = WriteAnswer(call.question);
    if (!call.may_compress || body.size() < kMinCompressedBytes) {
      response.body() = std::move(body);
      return;
    }
    if (compressed_answers_.size() >= kMaxCompressedAnswers)
      compressed_answers_.clear();
    response.body() = compressed_answers_[key] = CompressBody(body);
  }
  response.set(http::field::content_encoding, std::string(kGzipEncoding));
}

nlohmann::json state_relay::DumpState() const {
  return {{"items", items_.size()}, {"history", history_.size()},
          {"era", as_of_.era},      {"as_of", as_of_.revision},
          {"fresh", is_fresh_},     {"waiting", waiting_.size()},
          {"answers", answers_}};
}

}  // namespace papayakeel
