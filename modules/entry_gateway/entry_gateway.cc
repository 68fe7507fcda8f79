// Listeners, request routing, address lookups and readiness checks.
#include "modules/entry_gateway/entry_gateway.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "drivers/event_loop.h"
#include "drivers/logging.h"
#include "modules/entry_gateway/caller_session.h"
#include "modules/entry_gateway/http_message.h"
#include "modules/metrics/metric_sink.h"
#include "modules/metrics/metrics_service.h"
#include "modules/state_feed/state_feed.h"
#include "servers/discovery/evacuated_zones.h"
#include "servers/membership/entry_directory.h"
#include "servers/placement/caller_placement.h"
#include "servers/routing/desired_state_store.h"

namespace papayakeel {

namespace {

// Request bodies may use 1 / kBodyMemoryDivisor of the memory limit.
constexpr std::size_t kBodyMemoryDivisor = 4;

// File descriptors reserved for connections to endpoints, peers and the store.
constexpr std::size_t kReservedDescriptors = 900;

// Time for which callers cache an address list. Some callers cache it three
// times as long. A short time makes callers leave a failed entry VM early.
constexpr time_span kAddressTtl = std::chrono::milliseconds(1500);

// Maximum number of addresses in one lookup response.
constexpr std::size_t kMaxAddresses = 64;

// Retry-After while no desired state is known.
constexpr time_span kNotReadyRetryAfter = std::chrono::milliseconds(500);

// Another entry VM can serve the request at once.
constexpr time_span kStoppingRetryAfter{0};

// Upper limit for the remaining time that a caller states in a request header.
constexpr std::int64_t kMaxCallerTimeoutMs = 600'000;

// Maximum length of a host, a path or a header value in the log.
constexpr std::size_t kMaxLoggedBytes = 120;

const std::vector<double> kDurationBuckets = {0.02, 0.05, 0.1, 0.2, 0.4,
                                              0.8,  1.6,  3.2, 6.4};

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t number = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_whole = parsed.ptr == text.data() + text.size();
  if (text.empty() || parsed.ec != std::errc() || !is_whole)
    return std::nullopt;
  return number;
}

}  // namespace

entry_gateway::entry_gateway(service_registry& registry,
                             const entry_settings& settings,
                             caller_contract contract,
                             random_source random)
    : registry_(registry),
      settings_(settings),
      contract_(std::move(contract)),
      split_(std::move(random)) {}

entry_gateway::~entry_gateway() = default;

void entry_gateway::Start() {
  loop_ = registry_.Find<event_loop>(event_loop::kName);
  state_store_ =
      registry_.Find<desired_state_store>(desired_state_store::kName);
  feed_ = registry_.Find<state_feed>(state_feed::kName);
  directory_ = registry_.Find<entry_directory>(entry_directory::kName);
  state_store_->Subscribe([this] { split_.Reset(); });

  host_.limits = [this] {
    const std::shared_ptr<const route_table> routes = state_store_->routes();
    return routes ? routes->state().limits : caller_limits{};
  };
  host_.state_version = [this] { return ActiveStateVersion(); };
  host_.refused = [this](const refused_request& refused) {
    RecordRefusal(refused);
  };
  host_.handle = [this](caller_request request) { Handle(std::move(request)); };
  host_.lost = [this](const lost_caller& lost) {
    Log(log_level::kInfo, "caller_lost",
        {{"caller", lost.address},
         {"reason", std::string(lost.reason)},
         {"unanswered", std::to_string(lost.unanswered)}});
    ++lost_caller_counts_[std::string(lost.reason)];
  };
  host_.closed = [this](caller_session& session) { sessions_.erase(&session); };
  const std::size_t body_limit =
      settings_.memory_limit_bytes / kBodyMemoryDivisor;
  host_.reserve = [this, body_limit](std::size_t bytes) {
    if (body_bytes_ + bytes > body_limit)
      return false;
    body_bytes_ += bytes;
    return true;
  };
  host_.release = [this](std::size_t bytes) {
    body_bytes_ -= std::min(bytes, body_bytes_);
  };

  services_.context = &loop_->context();
  services_.slots = registry_.Find<slot_link>(slot_link::kName);
  services_.endpoints = registry_.Find<endpoint_link>(endpoint_link::kName);
  services_.endpoints->memory().SetReclaimHook(
      [this] { return ReclaimAnswerMemory(); });
  services_.headers = &contract_.headers;
  services_.availability_zone = settings_.availability_zone;
  services_.may_pass_on = [](monotonic_time) { return true; };
  services_.state_age = [this] {
    const monotonic_time now = event_loop::Now();
    return now - feed_->last_answer().value_or(now);
  };
  services_.ended = [this](request_run& run, request_outcome end,
                           repeat_rule repeat, time_span elapsed,
                           std::size_t body_bytes) {
    runs_.erase(&run);
    host_.release(body_bytes);
    ++outcome_counts_[ToString(end)];
    durations_
        ->Add({{"outcome", ToString(end)}, {"kind", ToString(repeat)}},
              kDurationBuckets)
        .Observe(ToMilliseconds(elapsed) / 1000);
  };

  metrics_service* metrics =
      registry_.Find<metrics_service>(metrics_service::kName);
  durations_ = &prometheus::BuildHistogram()
                    .Name("papayakeel_request_duration_seconds")
                    .Help("Time from the arrival of a request to its end")
                    .Register(metrics->registry());
  metrics->AddCollector([this](metric_sink& sink) { CollectMetrics(sink); });
}

void entry_gateway::Stop() {
  is_stopped_ = true;
  acceptor_.reset();
  const std::unordered_set<caller_session*> sessions = std::move(sessions_);
  sessions_.clear();
  for (caller_session* each : sessions)
    each->Close();
  if (readiness_listener_)
    readiness_listener_->Close();
  if (lookup_listener_)
    lookup_listener_->Close();
}

std::unique_ptr<http_listener> entry_gateway::MakeListener(
    const network_address& address,
    std::function<http_response(const http_request&)> answer) {
  http_listener_settings listener;
  listener.listen = address;
  http_listener_hooks hooks;
  hooks.handle = [answer = std::move(answer)](const http_exchange& exchange) {
    exchange.respond(answer(exchange.request));
  };
  return std::make_unique<http_listener>(loop_->context(), listener,
                                         std::move(hooks));
}

std::optional<network_address> entry_gateway::Listen() {
  readiness_listener_ = MakeListener(
      settings_.readiness_listen, [this](const http_request& request) {
        const bool is_readiness_check =
            ToStringView(request.target()) == contract_.readiness_path;
        if (!is_readiness_check)
          return http_response(http::status::not_found, 11);
        return http_response(
            IsReady() ? http::status::ok : http::status::service_unavailable,
            11);
      });
  lookup_listener_ = MakeListener(settings_.lookup_listen,
                                  [this](const http_request& request) {
                                    return HandleAddressLookup(request);
                                  });
  if (!readiness_listener_->Start())
    return settings_.readiness_listen;
  if (!lookup_listener_->Start())
    return settings_.lookup_listen;

  boost::system::error_code error;
  const boost::asio::ip::address host =
      boost::asio::ip::make_address(settings_.caller_listen.host, error);
  if (error)
    return settings_.caller_listen;
  const boost::asio::ip::tcp::endpoint local(host,
                                             settings_.caller_listen.port);
  acceptor_.emplace(loop_->context());
  acceptor_->open(local.protocol(), error);
  if (!error)
    acceptor_->set_option(boost::asio::socket_base::reuse_address(true), error);
  if (!error)
    acceptor_->bind(local, error);
  if (!error)
    acceptor_->listen(boost::asio::socket_base::max_listen_connections, error);
  if (error)
    return settings_.caller_listen;
  Accept();
  return std::nullopt;
}

void entry_gateway::Accept() {
  if (!acceptor_)
    return;
  acceptor_->async_accept([this](const boost::system::error_code& error,
                                 boost::asio::ip::tcp::socket socket) {
    if (is_stopped_ || !acceptor_ ||
        error == boost::asio::error::operation_aborted) {
      return;
    }
    const std::size_t limit =
        settings_.descriptor_limit > 2 * kReservedDescriptors
            ? settings_.descriptor_limit - kReservedDescriptors
            : settings_.descriptor_limit / 2;
    if (error || sessions_.size() >= limit) {
      // The connection is closed before any request is read, so callers can
      // safely retry at another entry VM.
      Log(log_level::kWarning, "connection_refused",
          {{"connections", std::to_string(sessions_.size())},
           {"reason", error ? error.message() : "limit"}});
    } else {
      const std::shared_ptr<caller_session> session =
          std::make_shared<caller_session>(host_, std::move(socket));
      sessions_.insert(session.get());
      session->Start();
      if (is_draining_)
        session->Drain(false);
    }
    Accept();
  });
}

bool entry_gateway::IsReady() const {
  return !is_draining_ && state_store_->routes() != nullptr &&
         feed_->has_listing();
}

void entry_gateway::RespondImmediately(const caller_request& request,
                                       http::status status,
                                       std::string_view reason,
                                       std::string detail,
                                       std::optional<time_span> retry_after) {
  const std::string id(
      ToStringView(request.message[contract_.headers.request_id]));
  http_response response = MakeLocalResponse(status, reason);
  if (!id.empty())
    response.set(contract_.headers.request_id, id);
  if (retry_after) {
    response.set(http::field::retry_after,
                 std::to_string(ToMilliseconds(*retry_after) / 1000));
  }
  refused_request refused;
  refused.message = &request.message;
  refused.status = status;
  refused.reason = reason;
  refused.detail = std::move(detail);
  refused.state_version = ActiveStateVersion();
  RecordRefusal(refused);
  host_.release(request.message.body().size());
  request.session->Respond(request.number, std::move(response),
                           request.message.method() == http::verb::head);
}

std::uint64_t entry_gateway::ActiveStateVersion() const {
  const std::shared_ptr<const route_table> routes = state_store_->routes();
  return routes ? routes->state().version : 0;
}

void entry_gateway::RecordRefusal(const refused_request& refused) {
  std::string source = "none";
  std::string age;
  if (feed_->last_answer()) {
    source = feed_->is_last_answer_from_store()
                 ? "store"
                 : feed_->last_answer_source().ToString();
    age = std::to_string(
        ToMilliseconds(event_loop::Now() - *feed_->last_answer()));
  }
  Log(log_level::kInfo, "request_refused",
      {{"request", std::string(ToStringView(
                       (*refused.message)[contract_.headers.request_id]))},
       {"status", std::to_string(static_cast<unsigned>(refused.status))},
       {"reason", std::string(refused.reason)},
       {"detail", refused.detail},
       {"state_version", std::to_string(refused.state_version)},
       {"state_age_ms", age},
       {"state_source", source}});
  ++outcome_counts_["refused_at_once"];
  ++refusal_counts_[std::string(refused.reason)];
}

std::optional<request_plan> entry_gateway::Plan(const caller_request& request,
                                                const route& matched,
                                                std::uint64_t version) {
  request_plan plan;
  plan.caller_id =
      std::string(ToStringView(request.message[contract_.headers.request_id]));
  plan.repeat = matched.repeat;
  plan.work_class = matched.host + matched.prefix;
  plan.goal = matched.goal;
  plan.importance = matched.importance;
  plan.max_attempts = std::max(matched.max_attempts, 1);
  plan.state_version = version;
  plan.deadline = request.arrival + matched.timeout;
  const auto limit = request.message.find(contract_.headers.time_left);
  if (limit != request.message.end()) {
    const std::optional<std::int64_t> left =
        ParseInteger(ToStringView(limit->value()));
    if (!left || *left < 0)
      return std::nullopt;
    plan.stated_limit =
        std::chrono::milliseconds(std::min(*left, kMaxCallerTimeoutMs));
    plan.deadline =
        std::min(plan.deadline, request.arrival + *plan.stated_limit);
  }
  plan.service = split_.Next(matched);
  return plan;
}

void entry_gateway::Handle(caller_request request) {
  const std::shared_ptr<const route_table> routes = state_store_->routes();
  if (!routes) {
    return RespondImmediately(request, http::status::service_unavailable,
                              "no_desired_state", "", kNotReadyRetryAfter);
  }
  const std::string_view host =
      ToStringView(request.message[http::field::host]);
  const std::string_view target = ToStringView(request.message.target());
  const route* matched = routes->Find(host, target);
  if (matched == nullptr) {
    const std::string_view path = target.substr(0, target.find('?'));
    return RespondImmediately(request, http::status::not_found, "no_route",
                              std::string(host.substr(0, kMaxLoggedBytes)) +
                                  std::string(path.substr(0, kMaxLoggedBytes)),
                              std::nullopt);
  }
  std::optional<request_plan> plan =
      Plan(request, *matched, routes->state().version);
  if (!plan) {
    const std::string_view deadline =
        ToStringView(request.message[contract_.headers.time_left]);
    return RespondImmediately(
        request, http::status::bad_request, "bad_deadline",
        std::string(deadline.substr(0, kMaxLoggedBytes)), std::nullopt);
  }
  if (!services_.may_pass_on(plan->deadline)) {
    return RespondImmediately(request, http::status::service_unavailable,
                              "stopping", "", kStoppingRetryAfter);
  }
  const std::shared_ptr<request_run> run = std::make_shared<request_run>(
      services_, std::move(request), std::move(*plan));
  runs_.insert(run.get());
  run->Start();
}

std::vector<network_address> entry_gateway::AddressesFor(
    const address_question& question) const {
  std::vector<member> usable;
  for (const member& each : directory_->members()) {
    const bool is_self = each.peer_address == directory_->self().peer_address;
    if (each.state == member_state::kAlive && (!is_self || IsReady()))
      usable.push_back(each);
  }
  std::vector<network_address> addresses;
  for (const member& each : SelectEntryVmsForCallers(question.availability_zone,
                                                     usable, kMaxAddresses)) {
    addresses.push_back(each.caller_address);
  }
  return addresses;
}

http_response entry_gateway::HandleAddressLookup(
    const http_request& request) const {
  const std::optional<address_question> question =
      contract_.read_address_question(ToStringView(request.target()));
  if (!question)
    return http_response(http::status::not_found, 11);
  const std::vector<network_address> addresses = AddressesFor(*question);
  if (addresses.empty())
    return http_response(http::status::service_unavailable, 11);
  http_response response(http::status::ok, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = contract_.write_addresses(
      addresses, std::min(kAddressTtl, settings_.lookup_ttl_limit));
  return response;
}

void entry_gateway::BeginDrain(
    std::function<bool(monotonic_time deadline)> may_pass_on) {
  is_draining_ = true;
  services_.may_pass_on = std::move(may_pass_on);
  for (caller_session* each : sessions_)
    each->Drain(false);
  for (const std::shared_ptr<request_run>& each : Runs())
    each->OnShutdownBegin();
}

std::size_t entry_gateway::AnswerAll() {
  const std::vector<std::shared_ptr<request_run>> runs = Runs();
  for (const std::shared_ptr<request_run>& each : runs)
    each->OnShutdownEnd();
  return runs.size();
}

bool entry_gateway::ReclaimAnswerMemory() {
  const monotonic_time now = event_loop::Now();
  caller_session* largest = nullptr;
  for (caller_session* each : sessions_) {
    if (!each->IsStalled(now) || each->held_answer_bytes() == 0)
      continue;
    if (largest == nullptr ||
        each->held_answer_bytes() > largest->held_answer_bytes()) {
      largest = each;
    }
  }
  if (largest == nullptr)
    return false;
  largest->GiveWay();
  return true;
}

std::vector<std::shared_ptr<request_run>> entry_gateway::Runs() const {
  std::vector<std::shared_ptr<request_run>> runs;
  runs.reserve(runs_.size());
  for (request_run* each : runs_)
    runs.push_back(each->shared_from_this());
  return runs;
}

void entry_gateway::StopAccepting() {
  acceptor_.reset();
  const std::unordered_set<caller_session*> sessions = sessions_;
  for (caller_session* each : sessions)
    each->Drain(true);
}

bool entry_gateway::IsIdle() const {
  return runs_.empty() && sessions_.empty();
}

void entry_gateway::CollectMetrics(metric_sink& sink) const {
  for (const auto& [outcome, count] : outcome_counts_) {
    sink.Counter("papayakeel_requests_total", "Ended requests by outcome",
                 {{"outcome", outcome}}, static_cast<double>(count));
  }
  for (const auto& [reason, count] : refusal_counts_) {
    sink.Counter("papayakeel_requests_refused_total",
                 "Requests rejected without being scheduled, by reason",
                 {{"reason", reason}}, static_cast<double>(count));
  }
  for (const auto& [reason, count] : lost_caller_counts_) {
    sink.Counter("papayakeel_callers_lost_total",
                 "Connections of callers ended by the VM, by reason",
                 {{"reason", reason}}, static_cast<double>(count));
  }
  sink.Gauge("papayakeel_requests_running", "Requests without an answer", {},
             static_cast<double>(runs_.size()));
  sink.Gauge("papayakeel_caller_connections", "Open connections of callers", {},
             static_cast<double>(sessions_.size()));
  sink.Gauge("papayakeel_body_bytes", "Memory held for bodies of requests", {},
             static_cast<double>(body_bytes_));
  sink.Counter("papayakeel_store_calls_total", "Calls to the platform's store",
               {}, static_cast<double>(feed_->calls_total()));
  sink.Counter("papayakeel_store_failures_total",
               "Calls to the platform's store that failed", {},
               static_cast<double>(feed_->failures_total()));
  sink.Gauge("papayakeel_store_era", "Era of the state that has been read", {},
             static_cast<double>(feed_->position().era));
  sink.Gauge("papayakeel_store_revision",
             "Revision of the state that has been read", {},
             static_cast<double>(feed_->position().revision));
  const evacuated_zones* zones =
      registry_.Find<evacuated_zones>(evacuated_zones::kName);
  sink.Gauge("papayakeel_evacuated_zones", "Zones that the operator evacuated",
             {}, static_cast<double>(zones->zones().size()));
  sink.Counter("papayakeel_store_restores_total",
               "Restores of the store from an older copy", {},
               static_cast<double>(feed_->restores_total()));
  if (feed_->last_answer()) {
    sink.Gauge(
        "papayakeel_store_answer_age_seconds",
        "Time since the store last answered", {},
        ToMilliseconds(event_loop::Now() - *feed_->last_answer()) / 1000);
  }
  const slot_counters slots = services_.slots->owned_counters();
  sink.Counter("papayakeel_slot_requests_total",
               "Requests seen as owner of their service", {},
               static_cast<double>(slots.requests));
  sink.Counter("papayakeel_slot_grants_total", "Attempts granted as owner", {},
               static_cast<double>(slots.grants));
  const auto count_zone_grants = [&sink](const char* where,
                                         std::uint64_t grants) {
    sink.Counter("papayakeel_zone_grants_total",
                 "Attempts granted as owner, by the zone of the endpoint: that "
                 "of the request, or another",
                 {{"where", where}}, static_cast<double>(grants));
  };
  count_zone_grants("home", slots.home_zone_grants);
  count_zone_grants("other", slots.other_zone_grants);
  sink.Counter("papayakeel_hedges_total", "Hedges granted as owner", {},
               static_cast<double>(slots.hedges));
  sink.Counter("papayakeel_late_hedges_total",
               "Hedges withheld as owner, because their responses would arrive "
               "too late",
               {}, static_cast<double>(slots.late_hedges));
  sink.Counter("papayakeel_retries_total", "Retries granted as owner", {},
               static_cast<double>(slots.retries));
  sink.Counter("papayakeel_probes_total", "Status checks made as owner", {},
               static_cast<double>(slots.probes));
  sink.Counter("papayakeel_slot_rejections_total", "Requests rejected as owner",
               {}, static_cast<double>(slots.rejections));
  sink.Counter("papayakeel_warm_up_deferrals_total",
               "Free slots of cold endpoints withheld by their limit", {},
               static_cast<double>(slots.warm_up_deferrals));
  sink.Counter("papayakeel_return_retries_total",
               "Retries granted as owner to requests whose callers had tried "
               "before",
               {}, static_cast<double>(slots.return_retries));
  sink.Counter("papayakeel_withheld_retries_total",
               "Retries not granted as owner to keep the budget for other "
               "requests",
               {}, static_cast<double>(slots.withheld_retries));
  sink.Counter("papayakeel_endpoints_announced_leaving_total",
               "Endpoints that announced their leaving in an answer", {},
               static_cast<double>(services_.slots->announced_leavings()));
  sink.Counter("papayakeel_owner_failures_total", "Owners that did not answer",
               {}, static_cast<double>(services_.slots->owner_failures()));
  sink.Counter("papayakeel_endpoint_connections_opened_total",
               "Connections opened to endpoints", {},
               static_cast<double>(services_.endpoints->opened_total()));
  sink.Counter(
      "papayakeel_answers_withdrawn_total",
      "Unfinished answers of endpoints that gave way to others", {},
      static_cast<double>(services_.endpoints->memory().withdrawn_total()));
  sink.Counter("papayakeel_log_lines_dropped_total",
               "Log lines that standard output did not take", {},
               static_cast<double>(DroppedLogLines()));
}

nlohmann::json entry_gateway::DumpState() const {
  return {{"ready", IsReady()},        {"draining", is_draining_},
          {"running", runs_.size()},   {"connections", sessions_.size()},
          {"body_bytes", body_bytes_}, {"ended", outcome_counts_}};
}

}  // namespace papayakeel
