// Listings, watches and restores of the store.
#include "tests/platform/store_stand_in.h"

#include <cstdlib>
#include <utility>

#include <boost/beast/core/detail/base64.hpp>

#include "modules/http/query_value.h"

namespace papayakeel::platform {

namespace {

using nlohmann::json;
namespace base64 = boost::beast::detail::base64;

constexpr unsigned kHttp11 = 11;
constexpr char kEraHeader[] = "Store-Era";

std::string Encode(const std::string& bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

// The value of a number in the query, or 0.
std::uint64_t QueryNumber(const std::string& target, const char* name) {
  return std::strtoull(QueryValue(target, name).c_str(), nullptr, 10);
}

}  // namespace

store_stand_in::store_stand_in(boost::asio::io_context& context,
                               const std::string& host)
    : context_(context) {
  content_.revision = 1;
  Listen({host, 0});
}

void store_stand_in::Listen(const network_address& address) {
  http_listener_settings settings;
  settings.listen = address;
  http_listener_hooks hooks;
  hooks.handle = [this](http_exchange exchange) {
    Handle(std::move(exchange));
  };
  listener_ =
      std::make_unique<http_listener>(context_, settings, std::move(hooks));
  listener_->Start();
}

void store_stand_in::Respond(const http_exchange& exchange,
                             http::status status,
                             const std::string& body) const {
  http_response response(status, kHttp11);
  response.set(kEraHeader, std::to_string(era_));
  response.body() = body;
  response.prepare_payload();
  if (delay_ == std::chrono::milliseconds{0})
    return exchange.respond(std::move(response));
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(context_, delay_);
  timer->async_wait([timer, exchange, response = std::move(response),
                     lifetime = std::weak_ptr<const bool>(lifetime_)](
                        const boost::system::error_code& error) {
    if (!error && !lifetime.expired())
      exchange.respond(response);
  });
}

void store_stand_in::Handle(http_exchange exchange) {
  const std::string target(ToStringView(exchange.request.target()));
  if (call_hook_)
    call_hook_(target);
  const store_fault fault = FaultOf(exchange);
  if (fault == store_fault::kSilent) {
    silenced_.push_back(std::move(exchange));
    return;
  }
  if (fault == store_fault::kRefuses)
    return Respond(exchange, http::status::service_unavailable, "{}");
  if (target.find("kv-range") != std::string::npos)
    return AnswerListing(exchange, target);
  HandleWatch(std::move(exchange), target);
}

store_fault store_stand_in::FaultOf(const http_exchange& exchange) const {
  return fault_hook_ ? fault_hook_(std::string(
                           ToStringView(exchange.request[http::field::host])))
                     : fault_;
}

void store_stand_in::AnswerListing(const http_exchange& exchange,
                                   const std::string& target) {
  json items = json::array();
  auto item = content_.items.upper_bound(QueryValue(target, "after"));
  for (; item != content_.items.end() && items.size() < page_size_; ++item) {
    items.push_back({{"key", item->first},
                     {"value", Encode(item->second.value)},
                     {"revision", item->second.revision}});
  }
  const json body = {{"items", items},
                     {"has_more", item != content_.items.end()},
                     {"as_of", content_.revision}};
  Respond(exchange, http::status::ok, body.dump());
}

void store_stand_in::HandleWatch(http_exchange exchange,
                                 const std::string& target) {
  const std::uint64_t after = QueryNumber(target, "after");
  if (after > content_.revision)
    return Respond(exchange, http::status::gone, "{}");
  const std::uint64_t number = next_watch_++;
  waiting_watch& watch = watches_[number];
  watch.after = after;
  watch.exchange = std::move(exchange);
  if (after < content_.revision)
    return AnswerWatch(number);
  watch.timer = std::make_unique<boost::asio::steady_timer>(
      context_, std::chrono::milliseconds(QueryNumber(target, "wait_ms")));
  watch.timer->async_wait(
      [this, number, lifetime = std::weak_ptr<const bool>(lifetime_)](
          const boost::system::error_code& error) {
        if (!error && !lifetime.expired())
          AnswerWatch(number);
      });
}

void store_stand_in::AnswerWatch(std::uint64_t number) {
  const auto found = watches_.find(number);
  if (found == watches_.end())
    return;
  const waiting_watch watch = std::move(found->second);
  watches_.erase(found);
  json events = json::array();
  for (const json& event : content_.events) {
    if (event.at("revision").get<std::uint64_t>() > watch.after)
      events.push_back(event);
  }
  const json body = {{"events", events}, {"as_of", content_.revision}};
  Respond(watch.exchange, http::status::ok, body.dump());
}

void store_stand_in::AnswerChangedWatches() {
  if (fault_ != store_fault::kNone)
    return;
  while (!watches_.empty())
    AnswerWatch(watches_.begin()->first);
}

void store_stand_in::Put(const std::string& key, const std::string& value) {
  const std::uint64_t revision = ++content_.revision;
  content_.items[key] = {value, revision};
  content_.events.push_back(
      {{"key", key}, {"value", Encode(value)}, {"revision", revision}});
  AnswerChangedWatches();
}

void store_stand_in::Remove(const std::string& key) {
  content_.items.erase(key);
  content_.events.push_back(
      {{"key", key}, {"revision", ++content_.revision}, {"removed", true}});
  AnswerChangedWatches();
}

void store_stand_in::SetFault(store_fault fault) {
  fault_ = fault;
  HandleWatchesAgain();
}

void store_stand_in::SetFaultHook(fault_hook hook) {
  fault_hook_ = std::move(hook);
  HandleWatchesAgain();
}

void store_stand_in::Restore(const store_copy& copy) {
  content_ = copy;
  ++era_;
  HandleWatchesAgain();
}

void store_stand_in::HandleWatchesAgain() {
  std::map<std::uint64_t, waiting_watch> waiting;
  waiting.swap(watches_);
  for (auto& [number, watch] : waiting)
    Handle(std::move(watch.exchange));
}

void store_stand_in::CutConnections() {
  const network_address address = listener_->local_address();
  listener_->Close();
  watches_.clear();
  silenced_.clear();
  Listen(address);
}

}  // namespace papayakeel::platform
