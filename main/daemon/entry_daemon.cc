// Registration, start-up, reload and graceful shutdown of papayakeeld on the
// users' platform.
#include "main/daemon/entry_daemon.h"

#include <cstdio>
#include <memory>
#include <utility>

#include <sodium.h>

#include "drivers/event_loop.h"
#include "drivers/logging.h"
#include "drivers/random_seed.h"
#include "main/daemon/control_listeners.h"
#include "modules/endpoint_link/endpoint_link.h"
#include "modules/entry_gateway/entry_gateway.h"
#include "modules/metrics/metrics_service.h"
#include "modules/operator_api/operator_api.h"
#include "modules/peer_link/peer_link.h"
#include "modules/slot_link/slot_link.h"
#include "modules/state_feed/state_feed.h"
#include "modules/state_feed/state_relay.h"
#include "servers/bundles/bundle_service.h"
#include "servers/discovery/endpoint_registry.h"
#include "servers/discovery/evacuated_zones.h"
#include "servers/membership/entry_directory.h"
#include "servers/routing/desired_state_store.h"

namespace papayakeel {

namespace {

// Interval at which a draining process checks whether its last request has
// ended.
constexpr std::chrono::milliseconds kDrainPollInterval{50};

// Settings, in particular the addresses of other entry VMs, can change without
// a signal.
constexpr time_span kReloadInterval = std::chrono::seconds(1);

// Derives a key from the address of the store, because the platform gives the
// entry VMs no shared secret. The key separates deployments from each other but
// does not authenticate processes.
std::string DeploymentKey(const network_address& store) {
  const std::string text = "papayakeel " + store.ToString();
  unsigned char hash[crypto_generichash_BYTES];
  crypto_generichash(hash, sizeof(hash),
                     reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(), nullptr, 0);
  std::string key;
  for (const unsigned char each : hash) {
    char digits[3];
    std::snprintf(digits, sizeof(digits), "%02x", each);
    key += digits;
  }
  return key;
}

// Returns the settings of the modules that this daemon shares with `daemon`,
// which is configured by signed bundles.
process_settings MakeProcessSettings(const entry_settings& settings) {
  process_settings process;
  process.availability_zone = settings.availability_zone;
  process.caller_listen = settings.caller_listen;
  process.caller_advertise = settings.caller_listen;
  process.operator_listen = settings.metrics_listen;
  process.peer_listen = settings.peer_listen;
  process.peer_advertise = settings.peer_listen;
  process.peer_seeds = settings.peer_seeds;
  process.fleet_key = DeploymentKey(settings.store);
  return process;
}

}  // namespace

entry_daemon::entry_daemon(entry_settings settings, entry_platform platform)
    : settings_(std::move(settings)),
      platform_(std::move(platform)),
      shutdown_(settings_.shutdown_grace) {}

entry_daemon::~entry_daemon() = default;

void entry_daemon::RegisterServices() {
  const random_source random = MakeSeededRandomSource();
  const process_settings process = MakeProcessSettings(settings_);
  registry_.Register(std::make_unique<event_loop>());
  loop_ = registry_.Find<event_loop>(event_loop::kName);
  member self;
  self.peer_address = settings_.peer_listen;
  self.caller_address = settings_.caller_listen;
  self.availability_zone = settings_.availability_zone;
  self.incarnation = random();
  self.capacity = settings_.capacity;
  registry_.Register(std::make_unique<bundle_service>(process));
  registry_.Register(std::make_unique<entry_directory>(self));
  registry_.Register(std::make_unique<desired_state_store>());
  registry_.Register(std::make_unique<endpoint_registry>());
  registry_.Register(std::make_unique<evacuated_zones>());
  registry_.Register(std::make_unique<endpoint_link>(
      registry_, platform_.callers, settings_.memory_limit_bytes));
  RegisterOperatorApiModule(registry_, process, [this] {
    const bool is_ready =
        registry_.Find<entry_gateway>(entry_gateway::kName)->IsReady();
    return readiness{is_ready, is_ready ? "ready" : "not ready"};
  });
  RegisterMetricsModule(registry_);
  registry_.Register(std::make_unique<slot_link>(registry_, settings_, random));
  RegisterPeerLinkModule(registry_, process, random);
  registry_.Register(
      std::make_unique<state_relay>(registry_, settings_, platform_.store));
  registry_.Register(std::make_unique<state_feed>(registry_, settings_,
                                                  platform_.store, random));
  registry_.Register(std::make_unique<entry_gateway>(
      registry_, settings_, platform_.callers, random));
}

bool entry_daemon::OpenListeners() {
  const std::optional<network_address> failed =
      registry_.Find<entry_gateway>(entry_gateway::kName)->Listen();
  if (failed) {
    LogListenFailure(*failed);
    return false;
  }
  if (!registry_.Find<slot_link>(slot_link::kName)->Listen()) {
    LogListenFailure(settings_.slot_listen);
    return false;
  }
  if (!registry_.Find<state_relay>(state_relay::kName)->Listen()) {
    LogListenFailure(settings_.relay_listen);
    return false;
  }
  return OpenControlListeners(registry_, settings_.metrics_listen,
                              settings_.peer_listen);
}

void entry_daemon::LogMemberChanges() {
  std::map<network_address, member_state> seen;
  for (const member& each :
       registry_.Find<entry_directory>(entry_directory::kName)->members()) {
    seen[each.peer_address] = each.state;
  }
  std::size_t changed = 0;
  std::string example;
  for (const auto& [address, state] : seen) {
    const auto before = logged_members_.find(address);
    if (before != logged_members_.end() && before->second == state)
      continue;
    ++changed;
    example = address.ToString() + " " + ToString(state);
  }
  for (const auto& [address, state] : logged_members_) {
    if (seen.count(address) > 0)
      continue;
    ++changed;
    example = address.ToString() + " gone";
  }
  if (changed > 0) {
    Log(log_level::kInfo, "members_changed",
        {{"members", std::to_string(seen.size())},
         {"changed", std::to_string(changed)},
         {"last", example}});
  }
  logged_members_ = std::move(seen);
}

int entry_daemon::Run() {
  RegisterServices();
  registry_.Find<entry_directory>(entry_directory::kName)->Subscribe([this] {
    LogMemberChanges();
  });
  registry_.StartAll();
  if (!OpenListeners())
    return 1;
  Log(log_level::kInfo, "started",
      {{"vm", settings_.vm_name},
       {"capacity", std::to_string(settings_.capacity)},
       {"availability_zone", settings_.availability_zone},
       {"callers", settings_.caller_listen.ToString()},
       {"metrics", settings_.metrics_listen.ToString()}});
  loop_->HandleSignals([this] { BeginShutdown(); });
  loop_->HandleReload([this] { Reload(true); });
  reload_timer_.emplace(loop_->context());
  RunReloadTimer();
  loop_->Run();
  registry_.StopAll();
  Log(log_level::kInfo, "stopped", {{"status", std::to_string(exit_status_)}});
  return exit_status_;
}

void entry_daemon::RunReloadTimer() {
  reload_timer_->expires_after(kReloadInterval);
  reload_timer_->async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    Reload(false);
    RunReloadTimer();
  });
}

void entry_daemon::Reload(bool is_requested) {
  const std::optional<entry_settings> changed = platform_.reload();
  if (!changed) {
    Log(log_level::kWarning, "settings_unreadable");
    return;
  }
  const bool is_same = changed->peer_seeds == settings_.peer_seeds;
  if (is_same && !is_requested)
    return;
  settings_.peer_seeds = changed->peer_seeds;
  registry_.Find<peer_link>(peer_link::kName)->SetSeeds(changed->peer_seeds);
  Log(log_level::kInfo, "settings_reloaded",
      {{"seeds", std::to_string(changed->peer_seeds.size())},
       {"changed", is_same ? "false" : "true"}});
}

void entry_daemon::BeginShutdown() {
  Log(log_level::kInfo, "leaving");
  shutdown_.Begin(event_loop::Now());
  registry_.Find<entry_gateway>(entry_gateway::kName)
      ->BeginDrain([this](monotonic_time deadline) {
        return shutdown_.MayPassOn(deadline);
      });
  registry_.Find<entry_directory>(entry_directory::kName)
      ->UpdateSelf([](member& self) { self.state = member_state::kLeaving; });
  drain_timer_.emplace(loop_->context());
  CheckDrained();
}

void entry_daemon::CheckDrained() {
  entry_gateway* gateway = registry_.Find<entry_gateway>(entry_gateway::kName);
  const monotonic_time now = event_loop::Now();
  if (!has_stopped_accepting_ && shutdown_.ShouldStopAccepting(now)) {
    has_stopped_accepting_ = true;
    gateway->StopAccepting();
  }
  if (has_stopped_accepting_ && gateway->IsIdle())
    return loop_->Quit();
  if (shutdown_.MustAnswerAll(now)) {
    const std::size_t running = gateway->AnswerAll();
    if (running > 0) {
      Log(log_level::kWarning, "grace_period_over",
          {{"requests", std::to_string(running)}});
      exit_status_ = 1;
    }
  }
  if (shutdown_.MustExit(now))
    return loop_->Quit();
  drain_timer_->expires_after(kDrainPollInterval);
  drain_timer_->async_wait([this](const boost::system::error_code& error) {
    if (!error)
      CheckDrained();
  });
}

}  // namespace papayakeel
