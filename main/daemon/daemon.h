// Start-up and shutdown of papayakeeld: registers its services in their start
// order.
#ifndef MAIN_DAEMON_DAEMON_H_
#define MAIN_DAEMON_DAEMON_H_

#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "core/monotonic_time.h"
#include "core/service_registry.h"
#include "modules/operator_api/operator_api.h"
#include "servers/settings/process_settings.h"

namespace papayakeel {

class event_loop;

class daemon {
 public:
  explicit daemon(process_settings settings);
  ~daemon();

  // Runs until terminated. Returns the exit status of the process: 0 after a
  // graceful shutdown, 1 when a listener could not be opened or calls were
  // aborted at the end of the grace period.
  int Run();

 private:
  void RegisterServices();
  bool OpenListeners();
  readiness CheckReady() const;
  void BeginShutdown();
  void CheckDrained();

  const process_settings settings_;
  service_registry registry_;
  event_loop* loop_ = nullptr;
  std::optional<boost::asio::steady_timer> drain_timer_;
  monotonic_time drain_deadline_;
  bool is_leaving_ = false;
  int exit_status_ = 0;
};

}  // namespace papayakeel

#endif  // MAIN_DAEMON_DAEMON_H_
