// Registration, start-up and graceful shutdown of the daemon's services.
#include "main/daemon/daemon.h"

#include <memory>
#include <utility>

#include "drivers/event_loop.h"
#include "drivers/logging.h"
#include "drivers/random_seed.h"
#include "main/daemon/control_listeners.h"
#include "modules/call_router/call_router.h"
#include "modules/caller_gateway/caller_gateway.h"
#include "modules/metrics/control_metrics.h"
#include "modules/metrics/metrics_service.h"
#include "modules/operation_runner/operation_runner.h"
#include "modules/operator_api/bundle_route.h"
#include "modules/peer_link/peer_link.h"
#include "modules/platform_client/platform_client.h"
#include "modules/readiness/readiness_service.h"
#include "modules/server_link/server_link.h"
#include "servers/bundles/bundle_service.h"
#include "servers/membership/entry_directory.h"

namespace papayakeel {

namespace {

// Interval at which a draining process checks whether its last call has ended.
constexpr std::chrono::milliseconds kDrainPollInterval{50};

}  // namespace

daemon::daemon(process_settings settings) : settings_(std::move(settings)) {}

daemon::~daemon() = default;

void daemon::RegisterServices() {
  const random_source random = MakeSeededRandomSource();
  registry_.Register(std::make_unique<event_loop>());
  loop_ = registry_.Find<event_loop>(event_loop::kName);

  member self;
  self.peer_address = settings_.peer_advertise;
  self.caller_address = settings_.caller_advertise;
  self.availability_zone = settings_.availability_zone;
  self.incarnation = random();
  registry_.Register(std::make_unique<bundle_service>(settings_));
  registry_.Register(std::make_unique<entry_directory>(self));
  registry_.Register(
      std::make_unique<server_link>(loop_->context(), server_link_settings()));
  RegisterOperatorApiModule(registry_, settings_,
                            [this] { return CheckReady(); });
  RegisterMetricsModule(registry_);
  RegisterCallRouterModule(registry_, random);
  RegisterOperationRunnerModule(registry_);
  RegisterCallerGatewayModule(registry_, settings_);
  RegisterPeerLinkModule(registry_, settings_, random);
  RegisterPlatformClientModule(registry_, settings_, random);
  RegisterReadinessModule(registry_, settings_);
  AddControlMetrics(registry_);
  AddBundleRoute(*registry_.Find<operator_api>(operator_api::kName),
                 *registry_.Find<bundle_service>(bundle_service::kName));
}

bool daemon::OpenListeners() {
  caller_gateway* gateway =
      registry_.Find<caller_gateway>(caller_gateway::kName);
  if (!gateway->Listen()) {
    LogListenFailure(settings_.caller_listen);
    return false;
  }
  return OpenControlListeners(registry_, settings_.operator_listen,
                              settings_.peer_listen);
}

readiness daemon::CheckReady() const {
  if (is_leaving_)
    return {false, "leaving"};
  return registry_.Find<readiness_service>(readiness_service::kName)->Check();
}

int daemon::Run() {
  RegisterServices();
  registry_.StartAll();
  if (!OpenListeners())
    return 1;
  Log(log_level::kInfo, "started",
      {{"callers", settings_.caller_listen.ToString()},
       {"operators", settings_.operator_listen.ToString()},
       {"availability_zone", settings_.availability_zone}});
  loop_->HandleSignals([this] { BeginShutdown(); });
  loop_->Run();
  registry_.StopAll();
  Log(log_level::kInfo, "stopped", {{"status", std::to_string(exit_status_)}});
  return exit_status_;
}

void daemon::BeginShutdown() {
  is_leaving_ = true;
  Log(log_level::kInfo, "leaving");
  registry_.Find<entry_directory>(entry_directory::kName)
      ->UpdateSelf([](member& self) { self.state = member_state::kLeaving; });
  registry_.Find<caller_gateway>(caller_gateway::kName)->Drain();
  drain_timer_.emplace(loop_->context());
  drain_deadline_ = event_loop::Now() + settings_.shutdown_grace;
  CheckDrained();
}

void daemon::CheckDrained() {
  const caller_gateway* gateway =
      registry_.Find<caller_gateway>(caller_gateway::kName);
  if (gateway->IsIdle())
    return loop_->Quit();
  if (event_loop::Now() >= drain_deadline_) {
    Log(log_level::kWarning, "grace_period_over");
    exit_status_ = 1;
    return loop_->Quit();
  }
  drain_timer_->expires_after(kDrainPollInterval);
  drain_timer_->async_wait([this](const boost::system::error_code& error) {
    if (!error)
      CheckDrained();
  });
}

}  // namespace papayakeel
