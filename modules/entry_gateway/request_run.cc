// Attempts of a request and selection of its response.
#include "modules/entry_gateway/request_run.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "drivers/event_loop.h"
#include "drivers/logging.h"
#include "modules/entry_gateway/caller_session.h"
#include "modules/entry_gateway/http_message.h"

namespace papayakeel {

namespace {

// An endpoint responds with 504 when the time limit in its request expires.
// This allowance after the deadline lets that response arrive.
constexpr time_span kTimeoutResponseAllowance = std::chrono::milliseconds(60);

// Retry-After of a refused request for which the owner gave no time, for
// example if no slot was granted before the deadline.
constexpr time_span kDeadlineRetryAfter = std::chrono::milliseconds(200);

// Another entry VM can serve the request at once.
constexpr time_span kStoppingRetryAfter{0};

std::string FormatSeconds(time_span span) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", ToMilliseconds(span) / 1000);
  return text;
}

}  // namespace

const char* ToString(request_outcome end) {
  switch (end) {
    case request_outcome::kAnswered:
      return "answered";
    case request_outcome::kServerError:
      return "server_error";
    case request_outcome::kRefused:
      return "refused";
    case request_outcome::kUnknown:
      return "unknown";
    case request_outcome::kTimedOut:
      return "timed_out";
    case request_outcome::kCallerDisconnected:
      return "caller_gone";
  }
  return "unknown";
}

request_run::request_run(const request_services& services,
                         caller_request request,
                         request_plan plan)
    : services_(services),
      request_(std::move(request)),
      plan_(std::move(plan)),
      body_(std::make_shared<const std::string>(
          std::move(request_.message.body()))),
      timer_(*services.context) {}

void request_run::Start() {
  request_.session->SetDisconnectCallback(
      request_.number,
      [self = shared_from_this()] { self->OnCallerDisconnected(); });
  timer_.expires_at(plan_.deadline + kTimeoutResponseAllowance);
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
          self->OnDeadline();
      });
  slot_request wanted;
  wanted.caller_id = plan_.caller_id;
  wanted.work_class = plan_.work_class;
  wanted.availability_zone = services_.availability_zone;
  wanted.importance = plan_.importance;
  wanted.may_repeat = MayRepeat();
  wanted.max_attempts = plan_.max_attempts;
  wanted.bytes = body_->size();
  wanted.goal = plan_.goal;
  wanted.arrival = request_.arrival;
  wanted.deadline = plan_.deadline;
  wanted.stated_limit = plan_.stated_limit;
  slot_client_hooks hooks;
  hooks.granted = [self = shared_from_this()](const slot_grant& grant) {
    self->OnGranted(grant);
  };
  hooks.rejected = [self =
                        shared_from_this()](const slot_rejection& rejection) {
    self->OnRejected(rejection);
  };
  number_ = services_.slots->Acquire(plan_.service, std::move(wanted),
                                     std::move(hooks));
}

std::string request_run::MakeHeader(const slot_grant& grant) const {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      plan_.deadline - event_loop::Now());
  return SerializeRequestHeader(
      request_.message, body_->size(),
      {{services_.headers->time_left,
        std::to_string(std::max<std::int64_t>(left.count(), 1))},
       {services_.headers->expected_endpoint, grant.endpoint.id}});
}

void request_run::OnGranted(const slot_grant& grant) {
  const bool should_send_attempt =
      !is_ended_ && !is_caller_disconnected_ &&
      event_loop::Now() < plan_.deadline && sent_ < plan_.max_attempts &&
      services_.may_pass_on(plan_.deadline) &&
      (MayRepeat() || (!may_have_run_ && attempts_.empty()));
  if (!should_send_attempt) {
    services_.slots->Report(number_, grant.attempt, attempt_outcome::kCancelled,
                            std::nullopt);
    return;
  }
  ++sent_;
  Log(log_level::kInfo, "attempt_started",
      {{"request", plan_.caller_id},
       {"service", plan_.service},
       {"endpoint", grant.endpoint.id},
       {"attempt", std::to_string(sent_)},
       {"hedge", grant.is_hedge ? "true" : "false"},
       {"state_age_ms", std::to_string(ToMilliseconds(services_.state_age()))},
       {"waited_ms",
        std::to_string(ToMilliseconds(event_loop::Now() - request_.arrival))}});
  endpoint_exchange exchange;
  exchange.endpoint_id = grant.endpoint.id;
  exchange.endpoint_started_unix_ms = grant.endpoint.started_unix_ms;
  // An idle connection keeps its last exchange, which must not keep the
  // request.
  exchange.may_send = [slots = services_.slots, endpoint = grant.endpoint] {
    return slots->IsUsable(endpoint);
  };
  exchange.address = grant.endpoint.address;
  exchange.header = MakeHeader(grant);
  exchange.body = body_;
  exchange.request_id = plan_.caller_id;
  exchange.on_transfer = [slots = services_.slots, number = number_,
                          attempt =
                              grant.attempt](const answer_transfer& transfer) {
    slots->ReportTransferStart(number, attempt, transfer);
  };
  exchange.is_head = request_.message.method() == http::verb::head;
  exchange.deadline = plan_.deadline + kTimeoutResponseAllowance;
  attempts_[grant.attempt] = services_.endpoints->Begin(
      std::move(exchange), [self = shared_from_this(),
                            attempt = grant.attempt](endpoint_result result) {
        self->OnResult(attempt, std::move(result));
      });
}

void request_run::OnResult(std::uint64_t attempt, endpoint_result result) {
  attempts_.erase(attempt);
  if (is_ended_)
    return;
  if (result.outcome != attempt_outcome::kAnswered) {
    Log(log_level::kInfo, "attempt_failed",
        {{"request", plan_.caller_id},
         {"outcome", ToString(result.outcome)},
         {"reused_connection", result.was_reused ? "true" : "false"},
         {"detail", result.detail}});
  }
  may_have_run_ |= !IsCertainlyNotRun(result.outcome);
  sent_ -= result.outcome == attempt_outcome::kNotSent ? 1 : 0;
  services_.slots->Report(number_, attempt, result.outcome, result.load,
                          result.transfer);
  // No retry for a disconnected caller.
  if (is_caller_disconnected_ && result.outcome != attempt_outcome::kAnswered)
    return Stop(request_outcome::kCallerDisconnected, "caller_gone");
  switch (result.outcome) {
    case attempt_outcome::kAnswered:
      return Answer(std::move(result.response), request_outcome::kAnswered, "",
                    std::move(result.memory));
    case attempt_outcome::kServerError:
      failure_ = std::move(result.response);
      failure_memory_ = std::move(result.memory);
      break;
    default:
      break;
  }
  const bool is_stopping = !services_.may_pass_on(plan_.deadline);
  const bool can_retry = !result.has_timed_out && !is_rejected_ &&
                         !is_stopping && (MayRepeat() || !may_have_run_);
  if (!attempts_.empty() || can_retry)
    return;
  if (is_stopping)
    return Conclude(kStoppingRetryAfter, "stopping");
  Conclude(kDeadlineRetryAfter, "attempt_failed");
}

void request_run::OnRejected(const slot_rejection& rejection) {
  is_rejected_ = true;
  if (is_ended_ || !attempts_.empty())
    return;
  Conclude(rejection.retry_after > time_span(0) ? rejection.retry_after
                                                : kDeadlineRetryAfter,
           ToString(rejection.reason));
}

void request_run::OnShutdownBegin() {
  if (!is_ended_ && attempts_.empty() &&
      !services_.may_pass_on(plan_.deadline)) {
    Conclude(kStoppingRetryAfter, "stopping");
  }
}

void request_run::OnShutdownEnd() {
  if (is_ended_)
    return;
  may_have_run_ |= !attempts_.empty();
  CancelAttempts();
  Conclude(kStoppingRetryAfter, "grace_period_over");
}

void request_run::OnDeadline() {
  if (is_ended_)
    return;
  if (!attempts_.empty()) {
    may_have_run_ = true;
    CancelAttempts();
    if (!failure_) {
      return Answer(MakeLocalResponse(http::status::gateway_timeout,
                                      "http_response_timeout"),
                    request_outcome::kTimedOut, "deadline");
    }
  }
  Conclude(kDeadlineRetryAfter, "deadline");
}

void request_run::Conclude(time_span retry_after, std::string_view reason) {
  if (failure_) {
    return Answer(std::move(*failure_), request_outcome::kServerError, reason,
                  std::move(failure_memory_));
  }
  if (may_have_run_) {
    return Answer(MakeLocalResponse(http::status::bad_gateway,
                                    "http_response_incomplete"),
                  request_outcome::kUnknown, reason);
  }
  http_response refusal =
      MakeLocalResponse(http::status::service_unavailable, reason);
  refusal.set(http::field::retry_after, FormatSeconds(retry_after));
  Answer(std::move(refusal), request_outcome::kRefused, reason);
}

void request_run::OnCallerDisconnected() {
  is_caller_disconnected_ = true;
  if (is_ended_)
    return;
  // Don't cancel a non-idempotent request that an endpoint may have started.
  const bool may_be_running =
      std::any_of(attempts_.begin(), attempts_.end(), [this](const auto& each) {
        return services_.endpoints->HasSent(each.second);
      });
  if (!MayRepeat() && may_be_running)
    return;
  Stop(request_outcome::kCallerDisconnected, "caller_gone");
}

void request_run::Answer(http_response response,
                         request_outcome end,
                         std::string_view reason,
                         std::shared_ptr<const answer_share> memory) {
  if (is_ended_)
    return;
  RemoveHopByHopHeaders(response);
  response.erase(services_.headers->endpoint_load);
  response.erase(services_.headers->endpoint_leaving);
  response.erase(services_.headers->endpoint_warm_up);
  response.erase(services_.headers->not_run);
  response.erase(services_.headers->endpoint_id);
  if (response.find(services_.headers->request_id) == response.end())
    response.set(services_.headers->request_id, plan_.caller_id);
  const unsigned status = response.result_int();
  if (!is_caller_disconnected_) {
    request_.session->Respond(request_.number, std::move(response),
                              request_.message.method() == http::verb::head,
                              std::move(memory));
  }
  Log(log_level::kInfo, "request_ended",
      {{"request", plan_.caller_id},
       {"service", plan_.service},
       {"state_version", std::to_string(plan_.state_version)},
       {"attempts", std::to_string(sent_)},
       {"status", std::to_string(status)},
       {"outcome", ToString(end)},
       {"reason", std::string(reason)},
       {"elapsed_ms",
        std::to_string(ToMilliseconds(event_loop::Now() - request_.arrival))}});
  Stop(end, reason);
}

void request_run::Stop(request_outcome end, std::string_view reason) {
  if (is_ended_)
    return;
  is_ended_ = true;
  if (end == request_outcome::kCallerDisconnected) {
    Log(log_level::kInfo, "request_ended",
        {{"request", plan_.caller_id},
         {"service", plan_.service},
         {"attempts", std::to_string(sent_)},
         {"outcome", ToString(end)},
         {"reason", std::string(reason)}});
  }
  timer_.cancel();
  CancelAttempts();
  services_.slots->End(number_);
  services_.ended(*this, end, plan_.repeat,
                  event_loop::Now() - request_.arrival, body_->size());
}

void request_run::CancelAttempts() {
  for (const auto& [attempt, exchange] : attempts_)
    services_.endpoints->Cancel(exchange);
  attempts_.clear();
}

}  // namespace papayakeel
