// Caller-facing HTTP service: serves entry VM address lists and routes calls.
// Each request receives either one complete response or an error response
// that states whether the request was run.
#ifndef MODULES_CALLER_GATEWAY_CALLER_GATEWAY_H_
#define MODULES_CALLER_GATEWAY_CALLER_GATEWAY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <tl/expected.hpp>

#include "core/service.h"
#include "core/service_registry.h"
#include "modules/call_router/routed_call.h"
#include "modules/http/http_listener.h"
#include "servers/settings/process_settings.h"

namespace papayakeel {

class bundle_service;
class call_router;
class entry_directory;
class event_loop;
class operation_runner;
class readiness_service;

class caller_gateway : public service {
 public:
  static constexpr std::string_view kName = "caller_gateway";

  caller_gateway(service_registry& registry, process_settings settings);
  ~caller_gateway() override;

  std::string_view name() const override { return kName; }
  void Start() override;
  void Stop() override;
  nlohmann::json DumpState() const override;

  // Opens the listener for callers.
  tl::expected<void, listen_error_code> Listen();

  // Stops accepting calls. Calls in flight are completed.
  void Drain();

  // Returns true if there are no open connections and no calls in flight.
  bool IsIdle() const;

 private:
  struct request_plan {
    const service_definition* definition = nullptr;
    const work_class* work = nullptr;
    // The shorter of the time limits of the work class and the caller.
    std::chrono::milliseconds patience{0};
    unsigned caller_attempt = 1;
  };
  using plan_result = tl::expected<request_plan, http_response>;

  header_decision CheckHeader(const http_request& request) const;
  plan_result Plan(const bundle_pointer& in_force,
                   const http_request& request) const;
  void Handle(http_exchange exchange);
  void HandleAddresses(const http_exchange& exchange) const;
  void HandleCall(http_exchange exchange);
  void RouteCall(routed_call routed,
                 const http_exchange& exchange,
                 const std::function<void(http_response)>& answer);
  std::shared_ptr<const http_request> MakeTrackedRequest(http_request request);
  // Checks and counts an error response to a request that was not routed.
  // `header` is null if no request header is available.
  http_response Refuse(const http_request* header, http_response refusal);
  void CountReply(const http_response& reply);
  void RegisterMetrics();

  service_registry& registry_;
  const process_settings settings_;
  event_loop* loop_ = nullptr;
  bundle_service* bundles_ = nullptr;
  entry_directory* directory_ = nullptr;
  call_router* router_ = nullptr;
  operation_runner* operations_ = nullptr;
  readiness_service* readiness_ = nullptr;
  std::unique_ptr<http_listener> listener_;
  // Total size of buffered request bodies. Shared with the buffered requests,
  // which may outlive the gateway during process shutdown.
  std::shared_ptr<std::size_t> buffered_bytes_ =
      std::make_shared<std::size_t>(0);
  // Ended calls by outcome, and error responses by reason.
  std::map<std::string, std::uint64_t> outcomes_;
  std::map<std::string, std::uint64_t> refusals_;
  prometheus::Family<prometheus::Histogram>* durations_ = nullptr;
};

void RegisterCallerGatewayModule(service_registry& registry,
                                 const process_settings& settings);

}  // namespace papayakeel

#endif  // MODULES_CALLER_GATEWAY_CALLER_GATEWAY_H_
