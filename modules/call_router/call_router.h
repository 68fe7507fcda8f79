// Routes calls to backend servers. Owns one dispatcher per service of the
// current bundle and runs its attempts and probes over the server link.
#ifndef MODULES_CALL_ROUTER_CALL_ROUTER_H_
#define MODULES_CALL_ROUTER_CALL_ROUTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

#include "core/random_source.h"
#include "core/service.h"
#include "core/service_registry.h"
#include "modules/call_router/routed_call.h"
#include "modules/server_link/exchange.h"
#include "servers/dispatch/dispatcher.h"

namespace papayakeel {

class bundle_service;
class entry_directory;
class event_loop;
class metric_sink;
class peer_link;
class server_link;

class call_router : public service {
 public:
  static constexpr std::string_view kName = "call_router";

  call_router(service_registry& registry, random_source random);
  ~call_router() override;

  std::string_view name() const override { return kName; }
  void Start() override;
  void Stop() override;
  nlohmann::json DumpState() const override;

  // Routes a call. `done` is called asynchronously, exactly once, unless the
  // call is cancelled first.
  call_id Route(routed_call routed, routed_callback done);

  // Cancels a call whose caller has disconnected.
  void Cancel(call_id id);

  // Records when the current bundle was last confirmed; see `probe_budget`.
  void ConfirmBundle(monotonic_time confirmed);

  std::size_t running_calls() const { return calls_.size(); }

 private:
  struct service_state {
    std::string name;
    std::unique_ptr<dispatcher> call_dispatcher;
    std::unique_ptr<boost::asio::steady_timer> timer;
    std::optional<monotonic_time> timer_due;  // Set while the timer runs.
    std::unordered_map<attempt_id, exchange_id> running;
  };
  struct call_state {
    routed_call routed;
    routed_callback done;
    std::string service;
  };
  struct attempt_state {
    std::string service;
    attempt_id attempt = 0;
    call_id call = 0;
  };

  void RefreshServices();
  void RefreshEndpoints();
  void StartAttempt(const std::string& service_name,
                    const attempt_order& order);
  void OnExchange(exchange_id id, exchange_result ended);
  void OnCallFinished(const call_result& result);
  // Whether the response status is one that the call's work class defines as
  // "the server did not run the request".
  bool HasNotRunStatus(call_id id, const http_response& response) const;
  bool HasAttempt(call_id id) const;
  void ScheduleAdvance(service_state& state);
  void AdvanceService(const std::string& service_name);
  dispatch_hooks MakeHooks(const std::string& service_name);
  void StartProbe(const std::string& service_name,
                  const network_address& endpoint);
  void OnFinding(const endpoint_finding& finding);
  http_response ExplainService(const http_request& request) const;
  void CollectMetrics(metric_sink& sink) const;
  void CancelAttempt(const std::string& service_name, attempt_id attempt);

  service_registry& registry_;
  random_source random_;
  event_loop* loop_ = nullptr;
  bundle_service* bundles_ = nullptr;
  entry_directory* directory_ = nullptr;
  server_link* link_ = nullptr;
  peer_link* peers_ = nullptr;

  std::map<std::string, service_state> services_;
  std::unordered_map<call_id, call_state> calls_;
  std::unordered_map<exchange_id, attempt_state> attempts_;
  // Once-only calls reported with an unknown outcome while an attempt was
  // still running.
  std::unordered_map<call_id, routed_call> calls_awaiting_late_answer_;
  // Responses of attempts whose report to the dispatcher is in progress; each
  // entry is erased when the report returns.
  std::unordered_map<attempt_id, http_response> answers_;
  call_id next_call_ = 1;
  exchange_id next_exchange_;
};

void RegisterCallRouterModule(service_registry& registry, random_source random);

}  // namespace papayakeel

#endif  // MODULES_CALL_ROUTER_CALL_ROUTER_H_
