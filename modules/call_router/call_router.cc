// Passes calls, exchange results and timer events to the dispatchers.
#include "modules/call_router/call_router.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

#include "drivers/event_loop.h"
#include "drivers/logging.h"
#include "modules/call_router/load_header.h"
#include "modules/http/query_value.h"
#include "modules/metrics/metrics_service.h"
#include "modules/operator_api/operator_api.h"
#include "modules/peer_link/peer_link.h"
#include "modules/server_link/server_link.h"
#include "servers/bundles/bundle_service.h"
#include "servers/membership/entry_directory.h"
#include "servers/placement/entry_placement.h"

namespace papayakeel {

namespace {

// How long an attempt of once-only work may continue past the call's deadline
// to obtain a response after the caller was told that the outcome is unknown.
constexpr std::chrono::seconds kLateAnswerWait{60};
constexpr std::chrono::seconds kProbeTimeout{1};

// Headers removed from server responses: some are exchanged only between the
// entry VM and the server, the others may be set only by the load balancer.
constexpr const char* kInternalHeaders[] = {
    "Papayakeel-Outcome",    "Papayakeel-Epoch",    "Papayakeel-Reason",
    "Papayakeel-Request-Id", "Papayakeel-Draining", "endpoint-load-metrics"};

void LogUnanswered(const routed_call& routed, const call_result& result) {
  const bool is_unknown = result.outcome == call_outcome::kUnknown;
  Log(is_unknown ? log_level::kWarning : log_level::kInfo, "call_unanswered",
      {{"call", std::to_string(result.call)},
       {"service", routed.definition->name},
       {"work_class", routed.work->name},
       {"bundle", std::to_string(routed.in_force->version)},
       {"outcome", is_unknown ? "unknown" : "not-run"},
       {"reason", ToString(result.reason)}});
}

std::vector<endpoint_info> EndpointsOf(const service_definition& definition,
                                       const std::vector<vm_record>& vms) {
  std::vector<endpoint_info> endpoints;
  if (definition.source == endpoint_source::kStatic) {
    for (const network_address& address : definition.static_endpoints)
      endpoints.push_back({address, "", false});
  }
  for (const vm_record& vm : vms) {
    if (vm.role != vm_role::kServer || vm.service != definition.name)
      continue;
    if (definition.source == endpoint_source::kVmList) {
      endpoints.push_back({vm.address, vm.availability_zone, vm.is_leaving});
      continue;
    }
    for (endpoint_info& endpoint : endpoints) {
      if (endpoint.address == vm.address) {
        endpoint.availability_zone = vm.availability_zone;
        endpoint.is_leaving = vm.is_leaving;
      }
    }
  }
  return endpoints;
}

}  // namespace

call_router::call_router(service_registry& registry, random_source random)
    : registry_(registry),
      random_(std::move(random)),
      next_exchange_(random_() >> 33 << 31) {}

call_router::~call_router() = default;

void call_router::Start() {
  loop_ = registry_.Find<event_loop>(event_loop::kName);
  bundles_ = registry_.Find<bundle_service>(bundle_service::kName);
  directory_ = registry_.Find<entry_directory>(entry_directory::kName);
  link_ = registry_.Find<server_link>(server_link::kName);
  bundles_->Subscribe([this](const bundle_pointer& in_force) {
    Log(log_level::kInfo, "bundle_in_force",
        {{"bundle", std::to_string(in_force->version)},
         {"deployment", in_force->deployment}});
    RefreshServices();
  });
  directory_->Subscribe([this] { RefreshEndpoints(); });
  peers_ = registry_.Find<peer_link>(peer_link::kName);
  peers_->SubscribeFindings(
      [this](const endpoint_finding& finding) { OnFinding(finding); });
  registry_.Find<metrics_service>(metrics_service::kName)
      ->AddCollector([this](metric_sink& sink) { CollectMetrics(sink); });
  registry_.Find<operator_api>(operator_api::kName)
      ->AddRoute("/why", [this](const http_request& request) {
        return ExplainService(request);
      });
  if (bundles_->current())
    RefreshServices();
}

void call_router::Stop() {
  services_.clear();
  calls_.clear();
  attempts_.clear();
  calls_awaiting_late_answer_.clear();
}

nlohmann::json call_router::DumpState() const {
  const monotonic_time now = event_loop::Now();
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [service_name, state] : services_)
    services[service_name] = state.call_dispatcher->DumpState(now);
  return {{"calls", calls_.size()},
          {"attempts", attempts_.size()},
          {"services", services}};
}

call_id call_router::Route(routed_call routed, routed_callback done) {
  const call_id id = next_call_++;
  call submitted;
  submitted.id = id;
  submitted.work_class = routed.work->name;
  submitted.importance = routed.importance;
  submitted.once_only = routed.work->once_only;
  submitted.arrival = routed.arrival;
  submitted.deadline = routed.deadline;
  submitted.caller_attempt = routed.caller_attempt;
  const std::string service_name = routed.definition->name;
  calls_[id] = {std::move(routed), std::move(done), service_name};
  const auto found = services_.find(service_name);
  if (found == services_.end()) {
    call_result refused;
    refused.call = id;
    refused.outcome = call_outcome::kNotRun;
    refused.reason = refusal_reason::kNoEndpoint;
    refused.retry_after = std::chrono::seconds(1);
    OnCallFinished(refused);
    return id;
  }
  found->second.call_dispatcher->Submit(submitted, event_loop::Now());
  ScheduleAdvance(found->second);
  return id;
}

void call_router::Cancel(call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  const std::string service_name = found->second.service;
  const auto state = services_.find(service_name);
  if (state != services_.end()) {
    state->second.call_dispatcher->Cancel(id, event_loop::Now());
    ScheduleAdvance(state->second);
  }
  calls_.erase(id);
}

void call_router::RefreshServices() {
  const monotonic_time now = event_loop::Now();
  const bundle_pointer in_force = bundles_->current();
  for (const service_definition& definition : in_force->services) {
    service_state& state = services_[definition.name];
    const dispatch_settings settings =
        dispatch_settings::From(definition, in_force->entry_vm_limit);
    if (state.call_dispatcher) {
      state.call_dispatcher->Configure(settings, now);
      continue;
    }
    state.name = definition.name;
    state.timer = std::make_unique<boost::asio::steady_timer>(loop_->context());
    state.call_dispatcher = std::make_unique<dispatcher>(
        settings, MakeHooks(definition.name), random_);
  }
  RefreshEndpoints();
}

dispatch_hooks call_router::MakeHooks(const std::string& service_name) {
  dispatch_hooks hooks;
  hooks.start_attempt = [this, service_name](const attempt_order& order) {
    StartAttempt(service_name, order);
  };
  hooks.cancel_attempt = [this, service_name](attempt_id attempt) {
    CancelAttempt(service_name, attempt);
  };
  hooks.finish_call = [this](const call_result& result) {
    OnCallFinished(result);
  };
  hooks.start_probe = [this, service_name](const network_address& endpoint) {
    StartProbe(service_name, endpoint);
  };
  hooks.share_finding = [this](const endpoint_finding& finding) {
    peers_->BroadcastFinding(finding);
  };
  return hooks;
}

void call_router::StartProbe(const std::string& service_name,
                             const network_address& endpoint) {
  http_request request(http::verb::get, "/.well-known/load", 11);
  request.set(http::field::host, service_name);
  exchange_request exchange;
  exchange.id = next_exchange_++;
  exchange.endpoint = endpoint;
  exchange.request = std::make_shared<const http_request>(std::move(request));
  exchange.deadline = event_loop::Now() + kProbeTimeout;
  link_->StartExchange(std::move(exchange), [this, service_name, endpoint](
                                                const exchange_result& ended) {
    const auto found = services_.find(service_name);
    if (found == services_.end())
      return;
    const bool has_succeeded = ended.result == attempt_result::kAnswered &&
                               ended.response.result() == http::status::ok;
    found->second.call_dispatcher->ReportProbe(endpoint, has_succeeded,
                                               event_loop::Now());
    ScheduleAdvance(found->second);
  });
}

void call_router::OnFinding(const endpoint_finding& finding) {
  const auto found = services_.find(finding.service);
  if (found == services_.end())
    return;
  found->second.call_dispatcher->ApplyFinding(finding, event_loop::Now());
  ScheduleAdvance(found->second);
}

void call_router::ConfirmBundle(monotonic_time confirmed) {
  for (auto& [service_name, state] : services_)
    state.call_dispatcher->ConfirmBundle(confirmed);
}

http_response call_router::ExplainService(const http_request& request) const {
  const std::string service_name =
      QueryValue(ToStringView(request.target()), "service");
  http_response reply(http::status::ok, 11);
  reply.set(http::field::content_type, "application/json");
  const auto found = services_.find(service_name);
  const service_definition* definition =
      bundles_->current() ? bundles_->current()->FindService(service_name)
                          : nullptr;
  if (found == services_.end() || definition == nullptr) {
    reply.result(http::status::not_found);
    reply.body() = R"({"error": "no such service"})";
    return reply;
  }
  nlohmann::json order = nlohmann::json::array();
  for (const network_address& address : OrderEntryVms(
           service_name, directory_->UsableEntryVms(), definition->homes, "")) {
    order.push_back(address.ToString());
  }
  reply.body() =
      nlohmann::json(
          {{"service", service_name},
           {"bundle_version", bundles_->current()->version},
           {"entry_vm", directory_->self().caller_address.ToString()},
           {"homes", definition->homes},
           {"entry_vms_in_order", order},
           {"endpoints",
            found->second.call_dispatcher->Explain(event_loop::Now())}})
          .dump() +
      "\n";
  return reply;
}

void call_router::CollectMetrics(metric_sink& sink) const {
  for (const auto& [service_name, state] : services_) {
    const metric_labels labels = {{"service", service_name}};
    const dispatch_counters& counters = state.call_dispatcher->counters();
    const probe_budget& probes = state.call_dispatcher->probes();
    const auto count = [&sink, &labels](const char* metric, const char* help,
                                        std::uint64_t value) {
      sink.Counter(metric, help, labels, static_cast<double>(value));
    };
    count("papayakeel_attempts_total", "Attempts, with hedges and retries",
          counters.attempts);
    count("papayakeel_hedges_total", "Second attempts of idempotent calls",
          counters.hedges);
    count("papayakeel_hedge_wins_total", "Hedges that answered first",
          counters.hedge_wins);
    count("papayakeel_retries_total", "Attempts after a failed attempt",
          counters.retries);
    count("papayakeel_suspicions_total", "Endpoints found to be slow",
          counters.suspicions);
    count("papayakeel_ejections_total", "Endpoints taken out for failures",
          counters.ejections);
    count("papayakeel_readmissions_total", "Ejected endpoints taken back",
          counters.readmissions);
    count("papayakeel_stale_connections_total",
          "Reused connections that returned no byte",
          counters.stale_connections);
    count("papayakeel_probes_total", "Probes sent", counters.probes);
    sink.Counter("papayakeel_probe_seconds_total",
                 "Server time spent on probes", labels,
                 std::chrono::duration<double>(probes.spent()).count());
    sink.Gauge(
        "papayakeel_probe_budget_seconds_per_second",
        "Server time a second that this process may spend on probes", labels,
        std::chrono::duration<double>(probes.allowed_per_second()).count());
    sink.Gauge("papayakeel_waiting_calls", "Calls in the queue", labels,
               static_cast<double>(state.call_dispatcher->waiting_calls()));
  }
}

void call_router::RefreshEndpoints() {
  const bundle_pointer in_force = bundles_->current();
  if (!in_force)
    return;
  const monotonic_time now = event_loop::Now();
  const std::vector<network_address> entry_vms = directory_->UsableEntryVms();
  const network_address self = directory_->self().caller_address;
  for (auto& [service_name, state] : services_) {
    const service_definition* definition = in_force->FindService(service_name);
    if (definition == nullptr) {
      state.call_dispatcher->SetEndpoints({}, now);
      continue;
    }
    const std::vector<endpoint_info> endpoints =
        SelectEndpoints(service_name, entry_vms, definition->homes, self,
                        EndpointsOf(*definition, directory_->vms()));
    const int share =
        std::max(1, definition->connection_limit / in_force->entry_vm_limit);
    for (const endpoint_info& endpoint : endpoints)
      link_->SetConnectionShare(endpoint.address, share);
    state.call_dispatcher->SetEndpoints(endpoints, now);
    ScheduleAdvance(state);
  }
}

void call_router::StartAttempt(const std::string& service_name,
                               const attempt_order& order) {
  const auto found = calls_.find(order.call);
  const exchange_id id = next_exchange_++;
  attempts_[id] = {service_name, order.id, order.call};
  services_[service_name].running[order.id] = id;
  exchange_request exchange;
  exchange.id = id;
  exchange.endpoint = order.endpoint;
  exchange.request = found->second.routed.request;
  exchange.server_deadline = order.deadline;
  exchange.deadline = order.deadline;
  if (found->second.routed.work->once_only)
    exchange.deadline += kLateAnswerWait;
  exchange.needs_live_connection = order.needs_live_connection;
  exchange.needs_new_connection = order.needs_new_connection;
  exchange.first_byte_timeout = order.first_byte_timeout;
  exchange.max_answer_bytes = found->second.routed.work->max_answer_bytes;
  exchange.answer_id_header = found->second.routed.definition->answer_id_header;
  link_->StartExchange(std::move(exchange), [this, id](exchange_result ended) {
    OnExchange(id, std::move(ended));
  });
}

void call_router::OnExchange(exchange_id id, exchange_result ended) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return;
  const attempt_state attempt = found->second;
  attempts_.erase(found);
  const auto state = services_.find(attempt.service);
  if (state == services_.end())
    return;
  state->second.running.erase(attempt.attempt);
  attempt_report report;
  report.id = attempt.attempt;
  report.result = ended.result;
  report.is_leaving = ended.is_leaving;
  if (ended.result == attempt_result::kAnswered) {
    report.is_server_error = ended.response.result_int() >= 500;
    if (HasNotRunStatus(attempt.call, ended.response))
      report.result = attempt_result::kNotRun;
    report.load =
        ParseLoadHeader(ToStringView(ended.response["endpoint-load-metrics"]));
    for (const char* header : kInternalHeaders)
      ended.response.erase(header);
    answers_[attempt.attempt] = std::move(ended.response);
  }
  const auto late = calls_awaiting_late_answer_.find(attempt.call);
  if (late != calls_awaiting_late_answer_.end()) {
    if (report.result == attempt_result::kAnswered)
      late->second.on_late_answer(answers_[attempt.attempt]);
    calls_awaiting_late_answer_.erase(late);
  }
  state->second.call_dispatcher->Report(report, event_loop::Now());
  answers_.erase(attempt.attempt);
  ScheduleAdvance(state->second);
}

void call_router::OnCallFinished(const call_result& result) {
  const auto found = calls_.find(result.call);
  if (found == calls_.end())
    return;
  routed_result ended;
  ended.result = result;
  const auto answer = answers_.find(result.answered_by);
  if (result.outcome == call_outcome::kAnswered && answer != answers_.end())
    ended.response = std::move(answer->second);
  if (result.outcome != call_outcome::kAnswered)
    LogUnanswered(found->second.routed, result);
  const routed_callback done = std::move(found->second.done);
  const bool may_answer_late = result.outcome == call_outcome::kUnknown &&
                               found->second.routed.on_late_answer != nullptr;
  if (may_answer_late && HasAttempt(result.call))
    calls_awaiting_late_answer_[result.call] = std::move(found->second.routed);
  calls_.erase(found);
  // Posted to the event loop because the dispatcher that finished the call is
  // still on the stack.
  boost::asio::post(
      loop_->context(),
      [done, moved = std::move(ended)]() mutable { done(std::move(moved)); });
}

bool call_router::HasNotRunStatus(call_id id,
                                  const http_response& response) const {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return false;
  const std::vector<int>& statuses =
      found->second.routed.work->not_run_statuses;
  return std::find(statuses.begin(), statuses.end(),
                   static_cast<int>(response.result_int())) != statuses.end();
}

bool call_router::HasAttempt(call_id id) const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [id](const auto& each) { return each.second.call == id; });
}

void call_router::ScheduleAdvance(service_state& state) {
  const std::optional<monotonic_time> next =
      state.call_dispatcher->NextDeadline();
  if (next == state.timer_due)
    return;
  state.timer_due = next;
  state.timer->cancel();
  if (!next)
    return;
  state.timer->expires_at(*next);
  state.timer->async_wait([this, service_name = state.name](
                              const boost::system::error_code& error) {
    if (!error)
      AdvanceService(service_name);
  });
}

void call_router::AdvanceService(const std::string& service_name) {
  const auto found = services_.find(service_name);
  if (found == services_.end())
    return;
  found->second.timer_due.reset();
  found->second.call_dispatcher->Advance(event_loop::Now());
  ScheduleAdvance(found->second);
}

void call_router::CancelAttempt(const std::string& service_name,
                                attempt_id attempt) {
  service_state& state = services_[service_name];
  const auto found = state.running.find(attempt);
  if (found == state.running.end())
    return;
  link_->CancelExchange(found->second);
  attempts_.erase(found->second);
  state.running.erase(found);
}

void RegisterCallRouterModule(service_registry& registry,
                              random_source random) {
  registry.Register(std::make_unique<call_router>(registry, std::move(random)));
}

}  // namespace papayakeel
