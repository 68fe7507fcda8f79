// Evaluates the serving gate periodically and on request.
#include "modules/readiness/readiness_service.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "drivers/event_loop.h"
#include "drivers/logging.h"
#include "modules/call_router/call_router.h"
#include "modules/peer_link/peer_link.h"
#include "modules/platform_client/platform_client.h"
#include "servers/bundles/bundle_service.h"
#include "servers/membership/entry_directory.h"

namespace papayakeel {

namespace {

constexpr std::chrono::milliseconds kCheckInterval{250};

std::optional<monotonic_time> LatestOf(std::optional<monotonic_time> left,
                                       std::optional<monotonic_time> right) {
  if (!left || !right)
    return left ? left : right;
  return std::max(*left, *right);
}

}  // namespace

readiness_service::readiness_service(service_registry& registry,
                                     process_settings settings)
    : registry_(registry), settings_(std::move(settings)) {}

void readiness_service::Start() {
  loop_ = registry_.Find<event_loop>(event_loop::kName);
  bundles_ = registry_.Find<bundle_service>(bundle_service::kName);
  router_ = registry_.Find<call_router>(call_router::kName);
  directory_ = registry_.Find<entry_directory>(entry_directory::kName);
  peers_ = registry_.Find<peer_link>(peer_link::kName);
  platform_ = registry_.Find<platform_client>(platform_client::kName);
  gate_settings settings;
  settings.serve_alone = settings_.serve_alone;
  settings.peer_wait = settings_.peer_wait;
  gate_.emplace(settings, event_loop::Now());
  timer_.emplace(loop_->context());
  RunTimer();
}

void readiness_service::Stop() {
  timer_->cancel();
}

nlohmann::json readiness_service::DumpState() const {
  return {{"state", ToString(last_state_)}, {"pauses", gate_->pauses()}};
}

readiness readiness_service::Check() {
  const gate_state state = gate_->Check(MakeView(), event_loop::Now());
  if (state != last_state_) {
    last_state_ = state;
    Log(log_level::kInfo, "readiness_changed", {{"state", ToString(state)}});
  }
  return {state == gate_state::kOpen, ToString(state)};
}

gate_view readiness_service::MakeView() const {
  gate_view view;
  view.has_bundle = bundles_->current() != nullptr;
  view.last_confirmation = LatestOf(platform_->last_configuration_answer(),
                                    peers_->last_bundle_confirmation());
  view.has_configuration_answer =
      platform_->last_configuration_answer().has_value();
  view.peers_heard = peers_->peers_heard();
  view.is_newer_announced = peers_->IsNewerBundleAnnounced();
  if (platform_->last_vm_list_answer()) {
    const network_address self = directory_->self().caller_address;
    view.other_entry_vms = static_cast<std::size_t>(
        std::count_if(directory_->vms().begin(), directory_->vms().end(),
                      [&self](const vm_record& vm) {
                        return vm.role == vm_role::kEntry && vm.address != self;
                      }));
  }
  return view;
}

void readiness_service::RunTimer() {
  Check();
  const std::optional<monotonic_time> confirmed = MakeView().last_confirmation;
  if (confirmed)
    router_->ConfirmBundle(*confirmed);
  timer_->expires_after(kCheckInterval);
  timer_->async_wait([this](const boost::system::error_code& error) {
    if (!error)
      RunTimer();
  });
}

void RegisterReadinessModule(service_registry& registry,
                             const process_settings& settings) {
  registry.Register(std::make_unique<readiness_service>(registry, settings));
}

}  // namespace papayakeel
