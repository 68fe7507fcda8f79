// Request validation, routing of calls, address lists and metrics.
#include "modules/caller_gateway/caller_gateway.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "drivers/event_loop.h"
#include "modules/call_router/call_router.h"
#include "modules/caller_gateway/caller_reply.h"
#include "modules/http/query_value.h"
#include "modules/metrics/metrics_service.h"
#include "modules/operation_runner/operation_runner.h"
#include "modules/readiness/readiness_service.h"
#include "servers/bundles/bundle_service.h"
#include "servers/membership/entry_directory.h"
#include "servers/placement/entry_placement.h"

namespace papayakeel {

namespace {

constexpr std::string_view kAddressesPath = "/.well-known/papayakeel/addresses";

// Time for which callers may cache an address list. 5 s makes callers leave a
// draining entry VM quickly at a cost of 0.2 lookups per second per caller.
constexpr std::chrono::milliseconds kAddressesMaxAge{5000};

// Returns the service name, which is the Host header without the port.
std::string_view ServiceNameOf(const http_request& request) {
  const std::string_view host = ToStringView(request[http::field::host]);
  return host.substr(0, host.find(':'));
}

// Parses a decimal header in the range [1, limit]. Returns `default_value` if
// the header is missing and an error response if its value is invalid.
tl::expected<std::int64_t, http_response> ParseNumberHeader(
    const http_request& request,
    const char* header,
    std::int64_t default_value,
    std::int64_t limit) {
  const auto found = request.find(header);
  if (found == request.end())
    return default_value;
  const std::string_view text = ToStringView(found->value());
  std::int64_t number = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_valid = parsed.ec == std::errc() && !text.empty() &&
                        parsed.ptr == text.data() + text.size() &&
                        number >= 1 && number <= limit;
  if (is_valid)
    return number;
  return tl::unexpected(MakeNotRunReply(
      http::status::bad_request, "http_request_error",
      std::string(header) + " must be a whole number from 1 to " +
          std::to_string(limit),
      time_span::zero()));
}

http_response MakeNotReadyReply(const readiness& ready) {
  return MakeNotRunReply(http::status::service_unavailable,
                         "proxy_configuration_error", ready.reason,
                         std::chrono::seconds(1));
}

// Returns the importance of the work class, lowered by the urgency in the
// caller's Priority header (RFC 9218) if that is less urgent. A larger number
// is less important. The header cannot raise the importance.
int ImportanceOf(const http_request& request, const work_class& work) {
  const std::string_view priority = ToStringView(request["Priority"]);
  const std::size_t at = priority.find("u=");
  if (at == std::string_view::npos || at + 2 >= priority.size())
    return work.importance;
  const char digit = priority[at + 2];
  if (digit < '0' || digit > '7')
    return work.importance;
  return std::max(work.importance, digit - '0');
}

const prometheus::Histogram::BucketBoundaries& DurationBuckets() {
  static const prometheus::Histogram::BucketBoundaries kBoundaries = {
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
      0.5,   1,     2,     5,    10,   30,   60};
  return kBoundaries;
}

}  // namespace

caller_gateway::caller_gateway(service_registry& registry,
                               process_settings settings)
    : registry_(registry), settings_(std::move(settings)) {}

caller_gateway::~caller_gateway() = default;

void caller_gateway::Start() {
  loop_ = registry_.Find<event_loop>(event_loop::kName);
  bundles_ = registry_.Find<bundle_service>(bundle_service::kName);
  directory_ = registry_.Find<entry_directory>(entry_directory::kName);
  router_ = registry_.Find<call_router>(call_router::kName);
  readiness_ = registry_.Find<readiness_service>(readiness_service::kName);
  operations_ = registry_.Find<operation_runner>(operation_runner::kName);
  http_listener_settings listener;
  listener.listen = settings_.caller_listen;
  listener.read_timeout = settings_.read_timeout;
  listener.connection_limit = settings_.caller_connection_limit;
  http_listener_hooks hooks;
  hooks.check_header = [this](const http_request& request,
                              const network_address&) {
    header_decision decision = CheckHeader(request);
    if (decision.refusal)
      decision.refusal = Refuse(&request, std::move(*decision.refusal));
    return decision;
  };
  hooks.handle = [this](http_exchange exchange) {
    Handle(std::move(exchange));
  };
  hooks.make_error = [this](http::status status, std::string_view reason,
                            const http_request* header) {
    return Refuse(header, MakeNotRunReply(status, "http_request_error", reason,
                                          time_span::zero()));
  };
  listener_ = std::make_unique<http_listener>(loop_->context(), listener,
                                              std::move(hooks));
  RegisterMetrics();
}

void caller_gateway::RegisterMetrics() {
  metrics_service* metrics =
      registry_.Find<metrics_service>(metrics_service::kName);
  durations_ = &prometheus::BuildHistogram()
                    .Name("papayakeel_call_duration_seconds")
                    .Help("Time from a request's last byte to its answer")
                    .Register(metrics->registry());
  metrics->AddCollector([this](metric_sink& sink) {
    for (const auto& [outcome, count] : outcomes_) {
      sink.Counter("papayakeel_calls_total", "Calls ended, by outcome",
                   {{"outcome", outcome}}, static_cast<double>(count));
    }
    for (const auto& [reason, count] : refusals_) {
      sink.Counter("papayakeel_refusals_total",
                   "Calls that ended without an answer, by reason",
                   {{"reason", reason}}, static_cast<double>(count));
    }
    sink.Gauge("papayakeel_caller_connections", "Open connections of callers",
               {}, static_cast<double>(listener_->connection_count()));
    sink.Gauge("papayakeel_buffered_bytes",
               "Bytes of request bodies of calls in flight", {},
               static_cast<double>(*buffered_bytes_));
  });
}

void caller_gateway::Stop() {
  listener_->Close();
}

tl::expected<void, listen_error_code> caller_gateway::Listen() {
  return listener_->Start();
}

void caller_gateway::Drain() {
  listener_->Drain();
}

bool caller_gateway::IsIdle() const {
  return listener_->connection_count() == 0 && router_->running_calls() == 0;
}

nlohmann::json caller_gateway::DumpState() const {
  return {{"connections", listener_->connection_count()},
          {"draining", listener_->is_draining()},
          {"buffered_bytes", *buffered_bytes_},
          {"buffered_bytes_limit", settings_.buffered_bytes_limit},
          {"outcomes", outcomes_}};
}

header_decision caller_gateway::CheckHeader(const http_request& request) const {
  header_decision decision;
  if (ToStringView(request.target()).substr(0, kAddressesPath.size()) ==
      kAddressesPath)
    return decision;
  const readiness ready = readiness_->Check();
  if (!ready.is_ready) {
    decision.refusal = MakeNotReadyReply(ready);
    return decision;
  }
  const plan_result plan = Plan(bundles_->current(), request);
  if (!plan) {
    decision.refusal = plan.error();
    return decision;
  }
  if (*buffered_bytes_ >= settings_.buffered_bytes_limit) {
    decision.refusal = MakeNotRunReply(
        http::status::service_unavailable, "connection_limit_reached",
        "buffered bytes limit reached", std::chrono::seconds(1));
    return decision;
  }
  decision.body_limit_bytes = plan->work->max_body_bytes;
  return decision;
}

caller_gateway::plan_result caller_gateway::Plan(
    const bundle_pointer& in_force,
    const http_request& request) const {
  request_plan plan;
  plan.definition = in_force->FindService(ServiceNameOf(request));
  if (plan.definition == nullptr) {
    return tl::unexpected(
        MakeNotRunReply(http::status::not_found, "destination_not_found",
                        "no such service", time_span::zero()));
  }
  plan.work = plan.definition->Classify(ToStringView(request.method_string()),
                                        ToStringView(request.target()));
  if (plan.work == nullptr) {
    return tl::unexpected(MakeNotRunReply(
        http::status::not_found, "destination_not_found",
        "no work class for this method and path", time_span::zero()));
  }
  const std::int64_t patience = plan.work->patience.count();
  const tl::expected<std::int64_t, http_response> deadline =
      ParseNumberHeader(request, "Papayakeel-Deadline-Ms", patience, 86400000);
  if (!deadline)
    return tl::unexpected(deadline.error());
  const tl::expected<std::int64_t, http_response> attempt =
      ParseNumberHeader(request, "Papayakeel-Attempt", 1, 1000);
  if (!attempt)
    return tl::unexpected(attempt.error());
  plan.patience = std::chrono::milliseconds(std::min(*deadline, patience));
  plan.caller_attempt = static_cast<unsigned>(*attempt);
  return plan;
}

void caller_gateway::Handle(http_exchange exchange) {
  const std::string_view target = ToStringView(exchange.request.target());
  if (target.substr(0, kAddressesPath.size()) == kAddressesPath)
    return HandleAddresses(exchange);
  HandleCall(std::move(exchange));
}

void caller_gateway::HandleAddresses(const http_exchange& exchange) const {
  const std::string service_name =
      QueryValue(ToStringView(exchange.request.target()), "service");
  const readiness ready = readiness_->Check();
  if (!ready.is_ready)
    return exchange.respond(MakeNotReadyReply(ready));
  const bundle_pointer& in_force = bundles_->current();
  const service_definition* definition = in_force->FindService(service_name);
  if (definition == nullptr) {
    return exchange.respond(
        MakeNotRunReply(http::status::not_found, "destination_not_found",
                        "no such service", time_span::zero()));
  }
  nlohmann::json addresses = nlohmann::json::array();
  for (const network_address& address :
       OrderEntryVms(service_name, directory_->UsableEntryVms(),
                     definition->homes, exchange.peer.host)) {
    const auto found =
        std::find_if(directory_->members().begin(), directory_->members().end(),
                     [&address](const member& each) {
                       return each.caller_address == address;
                     });
    addresses.push_back({{"address", address.ToString()},
                         {"availability_zone", found->availability_zone},
                         {"epoch", found->epoch}});
  }
  http_response reply(http::status::ok, 11);
  reply.set(http::field::content_type, "application/json");
  reply.body() = nlohmann::json({{"service", service_name},
                                 {"bundle_version", in_force->version},
                                 {"max_age_ms", kAddressesMaxAge.count()},
                                 {"addresses", addresses}})
                     .dump() +
                 "\n";
  exchange.respond(std::move(reply));
}

void caller_gateway::HandleCall(http_exchange exchange) {
  routed_call routed;
  routed.in_force = bundles_->current();
  const plan_result plan = Plan(routed.in_force, exchange.request);
  // A new bundle may have been activated since the header check.
  if (!plan)
    return exchange.respond(Refuse(&exchange.request, plan.error()));
  routed.definition = plan->definition;
  routed.work = plan->work;
  routed.arrival = event_loop::Now();
  routed.deadline = routed.arrival + plan->patience;
  routed.importance = ImportanceOf(exchange.request, *routed.work);
  routed.caller_attempt = plan->caller_attempt;
  exchange.request.keep_alive(true);
  exchange.request.erase(http::field::expect);
  routed.request = MakeTrackedRequest(std::move(exchange.request));

  const std::function<void(http_response)> answer =
      [this, respond = exchange.respond, arrival = routed.arrival,
       service_name = routed.definition->name](http_response response) {
        durations_->Add({{"service", service_name}}, DurationBuckets())
            .Observe(std::chrono::duration<double>(event_loop::Now() - arrival)
                         .count());
        CountReply(response);
        respond(std::move(response));
      };
  if (!routed.work->once_only)
    return RouteCall(std::move(routed), exchange, answer);
  const bool has_key =
      routed.request->find("Idempotency-Key") != routed.request->end();
  if (has_key) {
    const std::function<void()> detach =
        operations_->Handle(std::move(routed), answer);
    return exchange.on_disconnect([this, detach] {
      ++outcomes_["caller_gone"];
      detach();
    });
  }
  if (routed.work->key == key_requirement::kRequired)
    return answer(operations_->MakeMissingKeyReply());
  RouteCall(std::move(routed), exchange, answer);
}

void caller_gateway::RouteCall(
    routed_call routed,
    const http_exchange& exchange,
    const std::function<void(http_response)>& answer) {
  const call_id id =
      router_->Route(std::move(routed), [answer](routed_result ended) {
        answer(ended.response ? std::move(*ended.response)
                              : MakeReply(ended.result));
      });
  exchange.on_disconnect([this, id] {
    ++outcomes_["caller_gone"];
    router_->Cancel(id);
  });
}

std::shared_ptr<const http_request> caller_gateway::MakeTrackedRequest(
    http_request request) {
  const std::size_t body_bytes = request.body().size();
  *buffered_bytes_ += body_bytes;
  return std::shared_ptr<const http_request>(
      new http_request(std::move(request)),
      [total = buffered_bytes_, body_bytes](const http_request* released) {
        *total -= body_bytes;
        delete released;
      });
}

http_response caller_gateway::Refuse(const http_request* header,
                                     http_response refusal) {
  http_response reply = header == nullptr ? std::move(refusal)
                                          : operations_->CheckRefusal(
                                                *header, std::move(refusal));
  CountReply(reply);
  return reply;
}

void caller_gateway::CountReply(const http_response& reply) {
  const std::string_view outcome = ToStringView(reply["Papayakeel-Outcome"]);
  if (outcome.empty()) {
    ++outcomes_["answered"];
    return;
  }
  ++outcomes_[std::string(outcome)];
  ++refusals_[std::string(ToStringView(reply["Papayakeel-Reason"]))];
}

void RegisterCallerGatewayModule(service_registry& registry,
                                 const process_settings& settings) {
  registry.Register(std::make_unique<caller_gateway>(registry, settings));
}

}  // namespace papayakeel
