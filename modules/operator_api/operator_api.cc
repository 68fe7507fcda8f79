// Serves the operator API and checks its bearer token.
#include "modules/operator_api/operator_api.h"

#include <utility>

#include <sodium.h>

#include "drivers/event_loop.h"

namespace papayakeel {

namespace {

// A signed bundle may be up to 1 MiB.
constexpr std::uint64_t kMaxBodyBytes = 1 << 20;

http_response MakeText(http::status status, std::string body) {
  http_response reply(status, 11);
  reply.set(http::field::content_type, "text/plain");
  reply.body() = std::move(body);
  return reply;
}

}  // namespace

operator_api::operator_api(service_registry& registry,
                           process_settings settings,
                           std::function<readiness()> check_ready)
    : registry_(registry),
      settings_(std::move(settings)),
      check_ready_(std::move(check_ready)) {
  AddRoute("/state", [this](const http_request&) {
    http_response reply(http::status::ok, 11);
    reply.set(http::field::content_type, "application/json");
    reply.body() = registry_.DumpState().dump() + "\n";
    return reply;
  });
}

operator_api::~operator_api() = default;

void operator_api::Start() {
  event_loop* loop = registry_.Find<event_loop>(event_loop::kName);
  http_listener_settings listener;
  listener.listen = settings_.operator_listen;
  listener.connection_limit = 64;
  http_listener_hooks hooks;
  hooks.check_header = [](const http_request&, const network_address&) {
    header_decision decision;
    decision.body_limit_bytes = kMaxBodyBytes;
    return decision;
  };
  hooks.handle = [this](const http_exchange& exchange) {
    exchange.respond(Serve(exchange.request));
  };
  hooks.make_error = [](http::status status, std::string_view reason,
                        const http_request*) {
    return MakeText(status, std::string(reason) + "\n");
  };
  listener_ = std::make_unique<http_listener>(loop->context(), listener,
                                              std::move(hooks));
}

void operator_api::Stop() {
  listener_->Close();
}

tl::expected<void, listen_error_code> operator_api::Listen() {
  return listener_->Start();
}

void operator_api::AddRoute(const std::string& path, route_handler handler) {
  routes_[path] = std::move(handler);
}

http_response operator_api::Serve(const http_request& request) const {
  const boost::beast::string_view target = request.target();
  const std::string path(target.substr(0, target.find('?')));
  if (path == "/healthz")
    return MakeText(http::status::ok, "ok\n");
  if (path == "/readyz") {
    const readiness ready = check_ready_();
    return MakeText(
        ready.is_ready ? http::status::ok : http::status::service_unavailable,
        ready.reason + "\n");
  }
  if (!IsAuthorized(request)) {
    http_response reply =
        MakeText(http::status::unauthorized, "bearer token required\n");
    reply.set(http::field::www_authenticate, "Bearer");
    return reply;
  }
  const auto route = routes_.find(path);
  if (route == routes_.end())
    return MakeText(http::status::not_found, "no such path\n");
  return route->second(request);
}

bool operator_api::IsAuthorized(const http_request& request) const {
  // An empty token in the settings disables authentication, because the
  // platform reads metrics without a token.
  if (settings_.operator_token.empty())
    return true;
  const std::string expected = "Bearer " + settings_.operator_token;
  const boost::beast::string_view given = request[http::field::authorization];
  // Constant-time comparison protects the token against timing attacks.
  return given.size() == expected.size() &&
         sodium_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

void RegisterOperatorApiModule(service_registry& registry,
                               const process_settings& settings,
                               std::function<readiness()> check_ready) {
  registry.Register(std::make_unique<operator_api>(registry, settings,
                                                   std::move(check_ready)));
}

}  // namespace papayakeel
