// Values, watches and the operator's side of the platform stand-in.
#include "misc/stand_ins/platform/platform_stand_in.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "drivers/event_loop.h"

namespace papayakeel {

namespace {

constexpr std::string_view kValuePrefix = "/v1/values/";
// Over all readers together; a waiting watch counts as one call.
constexpr std::uint64_t kCallsPerSecond = 2000;
constexpr std::string_view kAdminPrefix = "/admin/";

http_listener_settings MakeSettings(network_address listen) {
  http_listener_settings settings;
  settings.listen = std::move(listen);
  return settings;
}

http_listener_hooks MakeHooks(std::function<void(http_exchange)> handle) {
  http_listener_hooks hooks;
  hooks.check_header = [](const http_request&, const network_address&) {
    header_decision decision;
    decision.body_limit_bytes = 4 << 20;
    return decision;
  };
  hooks.handle = std::move(handle);
  hooks.make_error = [](http::status status, std::string_view,
                        const http_request*) {
    return http_response(status, 11);
  };
  return hooks;
}

std::chrono::milliseconds WaitOf(std::string_view target) {
  const std::size_t at = target.find("wait_ms=");
  if (at == std::string_view::npos)
    return std::chrono::milliseconds(0);
  return std::chrono::milliseconds(
      std::strtol(std::string(target.substr(at + 8)).c_str(), nullptr, 10));
}

}  // namespace

platform_stand_in::platform_stand_in(boost::asio::io_context& context,
                                     network_address listen)
    : context_(context),
      listener_(context,
                MakeSettings(std::move(listen)),
                MakeHooks([this](http_exchange exchange) {
                  Handle(std::move(exchange));
                })) {}

bool platform_stand_in::Listen() {
  return listener_.Start().has_value();
}

void platform_stand_in::Handle(http_exchange exchange) {
  const std::string target(ToStringView(exchange.request.target()));
  const std::string path = target.substr(0, target.find('?'));
  if (path.rfind(kAdminPrefix, 0) == 0)
    return HandleAdmin(exchange, path.substr(kAdminPrefix.size()));
  if (!TakeCall()) {
    ++refused_total_;
    return exchange.respond(http_response(http::status::too_many_requests, 11));
  }
  if (path == "/v1/vms") {
    http_response reply(http::status::ok, 11);
    reply.body() = vm_list_;
    return exchange.respond(std::move(reply));
  }
  // Only the configuration service goes down; the VM list lags at worst.
  if (is_down_) {
    return exchange.respond(
        http_response(http::status::service_unavailable, 11));
  }
  if (path.rfind(kValuePrefix, 0) == 0)
    return HandleValue(std::move(exchange), path.substr(kValuePrefix.size()));
  exchange.respond(http_response(http::status::not_found, 11));
}

bool platform_stand_in::TakeCall() {
  ++calls_total_;
  const monotonic_time now = event_loop::Now();
  if (now - second_start_ >= std::chrono::seconds(1)) {
    second_start_ = now;
    calls_this_second_ = 0;
  }
  ++calls_this_second_;
  most_calls_in_a_second_ =
      std::max(most_calls_in_a_second_, calls_this_second_);
  return calls_this_second_ <= kCallsPerSecond;
}

http_response platform_stand_in::MakeValue() const {
  if (shown_ == 0)
    return http_response(http::status::not_found, 11);
  http_response reply(http::status::ok, 11);
  reply.set(http::field::etag, "\"" + std::to_string(shown_) + "\"");
  reply.body() = values_[shown_ - 1];
  return reply;
}

void platform_stand_in::HandleValue(http_exchange exchange,
                                    const std::string& key) {
  const std::string tag(
      ToStringView(exchange.request[http::field::if_none_match]));
  const bool is_current = tag == "\"" + std::to_string(shown_) + "\"";
  if (!is_current)
    return exchange.respond(MakeValue());
  const std::chrono::milliseconds wait =
      WaitOf(ToStringView(exchange.request.target()));
  if (wait.count() == 0)
    return exchange.respond(http_response(http::status::not_modified, 11));
  watches_.push_back({key, tag, std::move(exchange),
                      std::make_unique<boost::asio::steady_timer>(context_)});
  const auto added = std::prev(watches_.end());
  added->exchange.on_disconnect([this, added] { watches_.erase(added); });
  added->timer->expires_after(wait);
  added->timer->async_wait(
      [this, added](const boost::system::error_code& error) {
        if (error)
          return;
        added->exchange.respond(http_response(http::status::not_modified, 11));
        watches_.erase(added);
      });
}

void platform_stand_in::HandleAdmin(const http_exchange& exchange,
                                    const std::string& path) {
  const std::string& body = exchange.request.body();
  http_response reply(http::status::ok, 11);
  if (path == "publish") {
    Publish(body);
  } else if (path == "publish_to_one") {
    // One waiting reader gets the value; then the service is down.
    PublishToOne(body);
  } else if (path == "vms") {
    vm_list_ = body;
  } else if (path == "down") {
    is_down_ = body == "1";
  } else if (path == "show") {
    // Goes back to the first N published values, as a stale replica would.
    shown_ = std::min<std::size_t>(std::strtoul(body.c_str(), nullptr, 10),
                                   values_.size());
    EndWatches();
  } else if (path == "record") {
    reply.body() =
        nlohmann::json({{"calls", calls_total_},
                        {"refused", refused_total_},
                        {"most_calls_in_a_second", most_calls_in_a_second_},
                        {"watches", watches_.size()}})
            .dump() +
        "\n";
  } else {
    reply.result(http::status::not_found);
  }
  exchange.respond(std::move(reply));
}

void platform_stand_in::Publish(const std::string& value) {
  values_.push_back(value);
  shown_ = values_.size();
  EndWatches();
}

void platform_stand_in::PublishToOne(const std::string& value) {
  values_.push_back(value);
  shown_ = values_.size();
  is_down_ = true;
  if (watches_.empty())
    return;
  watches_.front().timer->cancel();
  watches_.front().exchange.respond(MakeValue());
  watches_.pop_front();
  while (!watches_.empty()) {
    watches_.front().timer->cancel();
    watches_.front().exchange.respond(
        http_response(http::status::service_unavailable, 11));
    watches_.pop_front();
  }
}

void platform_stand_in::EndWatches() {
  std::list<watch> ended;
  ended.swap(watches_);
  for (watch& each : ended) {
    each.timer->cancel();
    each.exchange.respond(MakeValue());
  }
}

}  // namespace papayakeel
