// Evaluates the serving gate from the state of the bundle service, the platform
// client and the peer link, and passes bundle confirmations to the call router.
#ifndef MODULES_READINESS_READINESS_SERVICE_H_
#define MODULES_READINESS_READINESS_SERVICE_H_

#include <optional>
#include <string_view>

#include <boost/asio/steady_timer.hpp>

#include "core/service.h"
#include "core/service_registry.h"
#include "modules/readiness/readiness.h"
#include "servers/bundles/serving_gate.h"
#include "servers/settings/process_settings.h"

namespace papayakeel {

class bundle_service;
class call_router;
class entry_directory;
class event_loop;
class peer_link;
class platform_client;

class readiness_service : public service {
 public:
  static constexpr std::string_view kName = "readiness";

  readiness_service(service_registry& registry, process_settings settings);

  std::string_view name() const override { return kName; }
  void Start() override;
  void Stop() override;
  nlohmann::json DumpState() const override;

  // Evaluates the serving gate now and logs a change of its state.
  readiness Check();

 private:
  gate_view MakeView() const;
  void RunTimer();

  service_registry& registry_;
  const process_settings settings_;
  event_loop* loop_ = nullptr;
  bundle_service* bundles_ = nullptr;
  call_router* router_ = nullptr;
  entry_directory* directory_ = nullptr;
  peer_link* peers_ = nullptr;
  platform_client* platform_ = nullptr;
  std::optional<boost::asio::steady_timer> timer_;
  std::optional<serving_gate> gate_;
  gate_state last_state_ = gate_state::kNoBundle;
};

void RegisterReadinessModule(service_registry& registry,
                             const process_settings& settings);

}  // namespace papayakeel

#endif  // MODULES_READINESS_READINESS_SERVICE_H_
