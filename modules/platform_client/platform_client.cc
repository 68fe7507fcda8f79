// Long-polls the bundle with exponential backoff and polls the list of VMs.
#include "modules/platform_client/platform_client.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "drivers/event_loop.h"
#include "drivers/logging.h"
#include "modules/platform_client/vm_list_parser.h"
#include "servers/bundles/bundle_service.h"
#include "servers/membership/entry_directory.h"

namespace papayakeel {

namespace {

// Each long poll confirms the bundle within the 10 s that probing requires.
// With 200 processes, it results in 25 calls per second out of 2,000 allowed.
constexpr std::chrono::milliseconds kLongPollWait{8000};
constexpr std::chrono::milliseconds kLongPollTimeout{12000};
constexpr std::chrono::milliseconds kInitialRetryBackoff{200};
constexpr std::chrono::milliseconds kMaxRetryBackoff{5000};
constexpr std::chrono::milliseconds kVmListInterval{2000};
constexpr std::size_t kMaxValueBytes = 1 << 20;

http_request MakeGet(const std::string& target) {
  return http_request(http::verb::get, target, 11);
}

}  // namespace

platform_client::platform_client(service_registry& registry,
                                 process_settings settings,
                                 random_source random)
    : registry_(registry),
      settings_(std::move(settings)),
      random_(std::move(random)) {}

void platform_client::Start() {
  loop_ = registry_.Find<event_loop>(event_loop::kName);
  bundles_ = registry_.Find<bundle_service>(bundle_service::kName);
  directory_ = registry_.Find<entry_directory>(entry_directory::kName);
  bundle_timer_.emplace(loop_->context());
  vm_list_timer_.emplace(loop_->context());
  LongPollBundle();
  ReadVmList();
}

void platform_client::Stop() {
  is_stopped_ = true;
  bundle_timer_->cancel();
  vm_list_timer_->cancel();
}

nlohmann::json platform_client::DumpState() const {
  const monotonic_time now = event_loop::Now();
  nlohmann::json state = {{"calls_total", calls_total_},
                          {"failures_total", failures_total_},
                          {"bundle_tag", bundle_etag_}};
  if (last_configuration_response_) {
    state["configuration_age_ms"] =
        ToMilliseconds(now - *last_configuration_response_);
  }
  if (last_vm_list_response_)
    state["vm_list_age_ms"] = ToMilliseconds(now - *last_vm_list_response_);
  return state;
}

void platform_client::LongPollBundle() {
  if (is_stopped_)
    return;
  fetch_request fetch;
  fetch.server = settings_.configuration_service;
  fetch.timeout = kLongPollTimeout;
  fetch.max_answer_bytes = kMaxValueBytes;
  std::string target = "/v1/values/" + settings_.bundle_key;
  if (!bundle_etag_.empty())
    target += "?wait_ms=" + std::to_string(kLongPollWait.count());
  fetch.request = MakeGet(target);
  if (!bundle_etag_.empty())
    fetch.request.set(http::field::if_none_match, bundle_etag_);
  ++calls_total_;
  Fetch(loop_->context(), std::move(fetch),
        [this](tl::expected<http_response, fetch_error_code> response) {
          if (!is_stopped_)
            OnBundle(std::move(response));
        });
}

void platform_client::OnBundle(
    tl::expected<http_response, fetch_error_code> response) {
  const bool is_valid_response =
      response && (response->result() == http::status::ok ||
                   response->result() == http::status::not_modified ||
                   response->result() == http::status::not_found);
  time_span wait = time_span::zero();
  if (!is_valid_response) {
    ++failures_total_;
    Log(log_level::kWarning, "configuration_read_failed",
        {{"reason", response ? std::to_string(response->result_int())
                             : ToString(response.error())}});
    wait = NextRetryBackoff();
  } else {
    consecutive_bundle_failures_ = 0;
    last_configuration_response_ = event_loop::Now();
    if (response->result() == http::status::not_found)
      wait = WithJitter(std::chrono::seconds(1));
    if (response->result() == http::status::ok) {
      const boost::beast::string_view tag = (*response)[http::field::etag];
      bundle_etag_.assign(tag.data(), tag.size());
      const tl::expected<bool, bundle_error> offered =
          bundles_->Offer(response->body());
      if (!offered) {
        Log(log_level::kError, "bundle_refused",
            {{"source", "configuration_service"},
             {"code", ToString(offered.error().code)},
             {"detail", offered.error().detail}});
      }
      // Without an ETag the next request cannot be a long poll.
      if (bundle_etag_.empty())
        wait = WithJitter(std::chrono::seconds(1));
    }
  }
  bundle_timer_->expires_after(wait);
  bundle_timer_->async_wait([this](const boost::system::error_code& error) {
    if (!error)
      LongPollBundle();
  });
}

void platform_client::ReadVmList() {
  if (is_stopped_)
    return;
  fetch_request fetch;
  fetch.server = settings_.vm_list;
  fetch.request = MakeGet("/v1/vms");
  ++calls_total_;
  Fetch(loop_->context(), std::move(fetch),
        [this](tl::expected<http_response, fetch_error_code> response) {
          if (!is_stopped_)
            OnVmList(std::move(response));
        });
}

void platform_client::OnVmList(
    tl::expected<http_response, fetch_error_code> response) {
  bool is_valid = false;
  if (response && response->result() == http::status::ok) {
    tl::expected<std::vector<vm_record>, vm_list_error_code> vms =
        ParseVmList(response->body());
    if (vms) {
      is_valid = true;
      last_vm_list_response_ = event_loop::Now();
      directory_->SetVms(std::move(*vms));
    }
  }
  if (!is_valid) {
    ++failures_total_;
    Log(log_level::kWarning, "vm_list_read_failed");
  }
  vm_list_timer_->expires_after(WithJitter(kVmListInterval));
  vm_list_timer_->async_wait([this](const boost::system::error_code& error) {
    if (!error)
      ReadVmList();
  });
}

time_span platform_client::WithJitter(time_span wait) const {
  return FromMilliseconds(ToMilliseconds(wait) *
                          (0.75 + 0.5 * UniformUnit(random_)));
}

time_span platform_client::NextRetryBackoff() {
  const unsigned doublings = std::min(consecutive_bundle_failures_, 10U);
  ++consecutive_bundle_failures_;
  const time_span wait = kInitialRetryBackoff * (1U << doublings);
  return WithJitter(std::min<time_span>(wait, kMaxRetryBackoff));
}

void RegisterPlatformClientModule(service_registry& registry,
                                  const process_settings& settings,
                                  random_source random) {
  registry.Register(
      std::make_unique<platform_client>(registry, settings, std::move(random)));
}

}  // namespace papayakeel
