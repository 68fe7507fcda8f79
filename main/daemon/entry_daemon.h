// papayakeeld on the users' platform, whose store provides the desired state
// and the endpoints. Registers the services in their start order and shuts them
// down.
#ifndef MAIN_DAEMON_ENTRY_DAEMON_H_
#define MAIN_DAEMON_ENTRY_DAEMON_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "core/service_registry.h"
#include "modules/entry_gateway/caller_contract.h"
#include "modules/state_feed/store_contract.h"
#include "servers/membership/member.h"
#include "servers/scheduling/shutdown_policy.h"
#include "servers/settings/entry_settings.h"
#include "servers/settings/process_settings.h"

namespace papayakeel {

class event_loop;

struct entry_platform {
  store_contract store;
  caller_contract callers;
  // Reads the settings again. Returns std::nullopt when they cannot be read.
  std::function<std::optional<entry_settings>()> reload;
};

class entry_daemon {
 public:
  entry_daemon(entry_settings settings, entry_platform platform);
  ~entry_daemon();

  // Runs until terminated. Returns the exit status of the process: 0 after a
  // graceful shutdown, 1 when a listener could not be opened or requests were
  // aborted at the end of the grace period.
  int Run();

 private:
  void RegisterServices();
  bool OpenListeners();
  void Reload(bool is_requested);
  void RunReloadTimer();
  // Logs members that join, disappear or change their state.
  void LogMemberChanges();
  void BeginShutdown();
  void CheckDrained();

  entry_settings settings_;
  const entry_platform platform_;
  service_registry registry_;
  event_loop* loop_ = nullptr;
  std::optional<boost::asio::steady_timer> drain_timer_;
  std::optional<boost::asio::steady_timer> reload_timer_;
  shutdown_policy shutdown_;
  std::map<network_address, member_state> logged_members_;
  bool has_stopped_accepting_ = false;
  int exit_status_ = 0;
};

}  // namespace papayakeel

#endif  // MAIN_DAEMON_ENTRY_DAEMON_H_
