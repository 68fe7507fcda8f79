// Implements POST /bundle.
#include "modules/operator_api/bundle_route.h"

#include <nlohmann/json.hpp>

#include "drivers/logging.h"
#include "modules/operator_api/operator_api.h"
#include "servers/bundles/bundle_service.h"

namespace papayakeel {

namespace {

http_response MakeJson(http::status status, const nlohmann::json& body) {
  http_response reply(status, 11);
  reply.set(http::field::content_type, "application/json");
  reply.body() = body.dump() + "\n";
  return reply;
}

}  // namespace

void AddBundleRoute(operator_api& operators, bundle_service& bundles) {
  operators.AddRoute("/bundle", [&bundles](const http_request& request) {
    if (request.method() != http::verb::post) {
      http_response reply(http::status::method_not_allowed, 11);
      reply.set(http::field::allow, "POST");
      return reply;
    }
    const tl::expected<bool, bundle_error> offered =
        bundles.Offer(request.body());
    if (!offered) {
      Log(log_level::kWarning, "bundle_refused",
          {{"source", "operator"},
           {"code", ToString(offered.error().code)},
           {"detail", offered.error().detail}});
      return MakeJson(http::status::conflict,
                      {{"code", ToString(offered.error().code)},
                       {"detail", offered.error().detail}});
    }
    return MakeJson(http::status::ok,
                    {{"in_force", true},
                     {"changed", *offered},
                     {"version", bundles.current()->version}});
  });
}

}  // namespace papayakeel
