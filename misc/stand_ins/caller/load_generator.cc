// Schedule, address refresh and accounting of the load tool.
#include "misc/stand_ins/caller/load_generator.h"

#include <cstdlib>
#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "drivers/event_loop.h"

namespace papayakeel {

namespace {

constexpr int kConnectionsPerTarget = 1000;
constexpr std::chrono::seconds kAddressRefresh{5};

// Returns the milliseconds in "total;dur=12.3", or 0.
double ServerTimeOf(const http_response& answer) {
  const std::string timing(ToStringView(answer["Server-Timing"]));
  const std::size_t at = timing.find("dur=");
  return at == std::string::npos
             ? 0
             : std::strtod(timing.c_str() + at + 4, nullptr);
}

}  // namespace

load_generator::load_generator(boost::asio::io_context& context,
                               load_settings settings)
    : context_(context),
      settings_(std::move(settings)),
      link_(context, server_link_settings()),
      arrival_timer_(context),
      refresh_timer_(context),
      generator_(settings_.seed) {}

void load_generator::Start(std::function<void(const load_result&)> done) {
  done_ = std::move(done);
  if (!settings_.is_direct)
    return RefreshAddresses();
  targets_ = settings_.addresses;
  has_started_ = true;
  next_arrival_ = event_loop::Now();
  end_ = next_arrival_ + settings_.duration;
  ScheduleNext();
}

void load_generator::RefreshAddresses() {
  fetch_request fetch;
  fetch.server = settings_.addresses[generator_() % settings_.addresses.size()];
  fetch.request = http_request(
      http::verb::get,
      "/.well-known/papayakeel/addresses?service=" + settings_.service, 11);
  Fetch(context_, std::move(fetch),
        [this](tl::expected<http_response, fetch_error_code> answer) {
          OnAddresses(std::move(answer));
        });
}

void load_generator::OnAddresses(
    tl::expected<http_response, fetch_error_code> answer) {
  if (has_ended_)
    return;
  if (answer && answer->result() == http::status::ok) {
    const nlohmann::json list =
        nlohmann::json::parse(answer->body(), nullptr, false);
    targets_.clear();
    for (const nlohmann::json& each : list["addresses"]) {
      targets_.push_back(
          *network_address::Parse(each["address"].get<std::string>()));
    }
    epoch_ = list["addresses"][0]["epoch"].get<std::string>();
  }
  refresh_timer_.expires_after(kAddressRefresh);
  refresh_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error)
      RefreshAddresses();
  });
  if (has_started_ || targets_.empty())
    return;
  has_started_ = true;
  next_arrival_ = event_loop::Now();
  end_ = next_arrival_ + settings_.duration;
  ScheduleNext();
}

void load_generator::ScheduleNext() {
  std::exponential_distribution<double> gap(settings_.calls_per_second);
  next_arrival_ += FromMilliseconds(gap(generator_) * 1000);
  if (next_arrival_ >= end_) {
    has_ended_ = true;
    refresh_timer_.cancel();
    return FinishWhenIdle();
  }
  arrival_timer_.expires_at(next_arrival_);
  arrival_timer_.async_wait(
      [this, scheduled = next_arrival_](const boost::system::error_code&) {
        SendCall(scheduled);
        ScheduleNext();
      });
}

void load_generator::SendCall(monotonic_time scheduled) {
  // Callers use the first address; direct load goes round all servers.
  const network_address target =
      settings_.is_direct ? targets_[next_target_++ % targets_.size()]
                          : targets_.front();
  http_request request(http::string_to_verb(settings_.method), settings_.target,
                       11);
  request.set(http::field::host, settings_.service);
  if (settings_.is_once_only) {
    request.set("Idempotency-Key", epoch_ + "." +
                                       std::to_string(result_.calls) + "-" +
                                       std::to_string(generator_()));
  }
  request.prepare_payload();
  ++result_.calls;
  ++in_flight_;
  exchange_request exchange;
  exchange.id = result_.calls;
  exchange.endpoint = target;
  exchange.request = std::make_shared<const http_request>(std::move(request));
  exchange.deadline = event_loop::Now() + settings_.deadline;
  link_.SetConnectionShare(target, kConnectionsPerTarget);
  link_.StartExchange(std::move(exchange),
                      [this, scheduled](const exchange_result& ended) {
                        OnEnd(scheduled, ended);
                      });
}

void load_generator::OnEnd(monotonic_time scheduled,
                           const exchange_result& ended) {
  --in_flight_;
  const double latency = ToMilliseconds(event_loop::Now() - scheduled);
  if (ended.result != attempt_result::kAnswered) {
    ++result_.broken;
  } else {
    const std::string_view outcome =
        ToStringView(ended.response["Papayakeel-Outcome"]);
    if (outcome == "not-run") {
      ++result_.not_run;
    } else if (outcome == "unknown") {
      ++result_.unknown;
    } else {
      ++result_.answered;
      result_.latencies_ms.push_back(latency);
      result_.added_ms.push_back(latency - ServerTimeOf(ended.response));
    }
  }
  if (has_ended_)
    FinishWhenIdle();
}

void load_generator::FinishWhenIdle() {
  if (in_flight_ == 0)
    done_(result_);
}

}  // namespace papayakeel
