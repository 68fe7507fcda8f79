// HTTP API for operators: health, metrics, state dump and routing explanations.
// All requests except health checks require the bearer token from the settings,
// if one is set.
#ifndef MODULES_OPERATOR_API_OPERATOR_API_H_
#define MODULES_OPERATOR_API_OPERATOR_API_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "core/service.h"
#include "core/service_registry.h"
#include "modules/http/http_listener.h"
#include "modules/readiness/readiness.h"
#include "servers/settings/process_settings.h"

namespace papayakeel {

class operator_api : public service {
 public:
  static constexpr std::string_view kName = "operator_api";

  using route_handler = std::function<http_response(const http_request&)>;

  operator_api(service_registry& registry,
               process_settings settings,
               std::function<readiness()> check_ready);
  ~operator_api() override;

  std::string_view name() const override { return kName; }
  void Start() override;
  void Stop() override;

  tl::expected<void, listen_error_code> Listen();

  // Registers a handler for a path (without query) that requires the token.
  // Other modules register their routes in `Start`.
  void AddRoute(const std::string& path, route_handler handler);

 private:
  http_response Serve(const http_request& request) const;
  bool IsAuthorized(const http_request& request) const;

  service_registry& registry_;
  const process_settings settings_;
  const std::function<readiness()> check_ready_;
  std::map<std::string, route_handler> routes_;
  std::unique_ptr<http_listener> listener_;
};

void RegisterOperatorApiModule(service_registry& registry,
                               const process_settings& settings,
                               std::function<readiness()> check_ready);

}  // namespace papayakeel

#endif  // MODULES_OPERATOR_API_OPERATOR_API_H_
