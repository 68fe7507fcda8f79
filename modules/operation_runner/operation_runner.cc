// Connects the operation ledger to the call router and to waiting callers.
#include "modules/operation_runner/operation_runner.h"

#include <sodium.h>

#include <cstdlib>
#include <utility>

#include <boost/asio/post.hpp>

#include "drivers/event_loop.h"
#include "modules/call_router/call_router.h"
#include "modules/caller_gateway/caller_reply.h"
#include "servers/membership/entry_directory.h"

namespace papayakeel {

namespace {

epoch GenerateEpoch() {
  epoch generated;
  randombytes_buf(&generated.high, sizeof(generated.high));
  randombytes_buf(&generated.low, sizeof(generated.low));
  return generated;
}

unsigned ParseCallerAttempt(const http_request& request) {
  const std::string text(ToStringView(request["Papayakeel-Attempt"]));
  const unsigned long attempt = std::strtoul(text.c_str(), nullptr, 10);
  return attempt == 0 ? 1 : static_cast<unsigned>(attempt);
}

operation_answer_pointer MakeStoredAnswer(const http_response& response) {
  const std::shared_ptr<operation_answer> answer =
      std::make_shared<operation_answer>();
  answer->status = static_cast<int>(response.result_int());
  for (const auto& field : response) {
    // Framing headers apply to one connection and are not stored.
    const bool is_framing = field.name() == http::field::connection ||
                            field.name() == http::field::content_length ||
                            field.name() == http::field::transfer_encoding ||
                            field.name() == http::field::keep_alive;
    if (is_framing)
      continue;
    answer->headers.emplace_back(std::string(field.name_string()),
                                 std::string(field.value()));
  }
  answer->body = response.body();
  return answer;
}

}  // namespace

operation_runner::operation_runner(service_registry& registry)
    : registry_(registry) {}

void operation_runner::Start() {
  loop_ = registry_.Find<event_loop>(event_loop::kName);
  router_ = registry_.Find<call_router>(call_router::kName);
  directory_ = registry_.Find<entry_directory>(entry_directory::kName);
  timer_.emplace(loop_->context());
  ledger_hooks hooks;
  hooks.generate_epoch = [] { return GenerateEpoch(); };
  hooks.find_member =
      [this](const epoch& wanted) -> std::optional<network_address> {
    const std::string text = wanted.ToString();
    for (const member& each : directory_->members()) {
      const bool is_other =
          each.peer_address != directory_->self().peer_address;
      if (is_other && each.epoch == text && each.state != member_state::kDead)
        return each.caller_address;
    }
    return std::nullopt;
  };
  hooks.epoch_changed = [this](const epoch& current) {
    directory_->UpdateSelf(
        [&current](member& self) { self.epoch = current.ToString(); });
  };
  hooks.finish_waiter = [this](waiter_id waiter,
                               const operation_result& result) {
    OnWaiterFinished(waiter, result);
  };
  ledger_ = std::make_unique<operation_ledger>(
      ledger_settings(), std::move(hooks), event_loop::Now());
  directory_->UpdateSelf([this](member& self) {
    self.epoch = ledger_->current_epoch().ToString();
  });
  ScheduleAdvance();
}

void operation_runner::Stop() {
  timer_->cancel();
  waiting_callers_.clear();
}

nlohmann::json operation_runner::DumpState() const {
  return ledger_->DumpState(event_loop::Now());
}

std::function<void()> operation_runner::Handle(routed_call routed,
                                               respond_function respond) {
  const http_request& request = *routed.request;
  const std::string key(ToStringView(request["Idempotency-Key"]));
  operation_request ledger_request;
  ledger_request.key = key;
  ledger_request.service = routed.definition->name;
  ledger_request.fingerprint = request_fingerprint::Of(
      ledger_request.service, ToStringView(request.method_string()),
      ToStringView(request.target()), request.body());
  ledger_request.caller_attempt = routed.caller_attempt;
  ledger_request.deadline = routed.deadline;
  const operation_ledger::begin_result begun =
      ledger_->Begin(ledger_request, event_loop::Now());
  ScheduleAdvance();
  if (!begun) {
    respond(MakeRefusalReply(begun.error(), request));
    return [] {};
  }
  if (begun->action == operation_action::kReplay) {
    respond(MakeResultReply(begun->result));
    return [] {};
  }
  const waiter_id waiter = begun->waiter;
  waiting_callers_[waiter] = std::move(respond);
  if (begun->action == operation_action::kRun)
    StartOperation(begun->operation, std::move(routed));
  return [this, waiter] {
    waiting_callers_.erase(waiter);
    ledger_->Leave(waiter);
  };
}

void operation_runner::StartOperation(operation_id operation,
                                      routed_call routed) {
  routed.on_late_answer = [this, operation](const http_response& response) {
    ledger_->CompleteAnswered(operation, MakeStoredAnswer(response),
                              event_loop::Now());
  };
  router_->Route(std::move(routed), [this, operation](routed_result ended) {
    OnOperationEnded(operation, std::move(ended));
  });
}

void operation_runner::OnOperationEnded(operation_id operation,
                                        routed_result ended) {
  const monotonic_time now = event_loop::Now();
  if (ended.response) {
    ledger_->CompleteAnswered(operation, MakeStoredAnswer(*ended.response),
                              now);
  } else if (ended.result.outcome == call_outcome::kNotRun) {
    ledger_->CompleteNotRun(operation, ended.result.retry_after, now);
  } else {
    ledger_->CompleteUnknown(operation, now);
  }
  ScheduleAdvance();
}

void operation_runner::OnWaiterFinished(waiter_id waiter,
                                        const operation_result& result) {
  const auto found = waiting_callers_.find(waiter);
  if (found == waiting_callers_.end())
    return;
  const respond_function respond = std::move(found->second);
  waiting_callers_.erase(found);
  // Posted to the event loop because the ledger must not be re-entered before
  // its hook returns.
  boost::asio::post(loop_->context(),
                    [respond, reply = MakeResultReply(result)]() mutable {
                      respond(std::move(reply));
                    });
}

http_response operation_runner::CheckRefusal(const http_request& request,
                                             http_response refusal) {
  const auto key = request.find("Idempotency-Key");
  if (key == request.end())
    return refusal;
  const operation_certainty certainty =
      ledger_->RecordRefusal(ToStringView(key->value()),
                             ParseCallerAttempt(request), event_loop::Now());
  if (certainty == operation_certainty::kNotRun)
    return refusal;
  return MakeUnknownReply(http::status::conflict, "http_request_denied",
                          "an earlier attempt may have run");
}

http_response operation_runner::MakeMissingKeyReply() const {
  http_response reply = MakeNotRunReply(
      http::status::precondition_required, "http_request_error",
      "Idempotency-Key EPOCH.SUFFIX is required", time_span::zero());
  reply.set("Papayakeel-Epoch", ledger_->current_epoch().ToString());
  return reply;
}

http_response operation_runner::MakeResultReply(
    const operation_result& result) const {
  switch (result.outcome) {
    case operation_outcome::kNotRun: {
      http_response reply = MakeNotRunReply(
          http::status::service_unavailable, "destination_unavailable",
          "not run on any server", result.retry_after);
      reply.set("Papayakeel-Epoch", ledger_->current_epoch().ToString());
      return reply;
    }
    case operation_outcome::kUnknown:
      return MakeUnknownReply(http::status::gateway_timeout,
                              "http_response_timeout",
                              "the operation may have run");
    case operation_outcome::kAnswered:
      break;
  }
  if (!result.answer) {
    return MakeUnknownReply(
        http::status::conflict, "http_request_denied",
        "the operation ran; its answer is no longer stored");
  }
  http_response reply(static_cast<http::status>(result.answer->status), 11);
  for (const auto& [field, value] : result.answer->headers)
    reply.insert(field, value);
  reply.body() = result.answer->body;
  return reply;
}

http_response operation_runner::MakeRefusalReply(
    const operation_refusal& refusal,
    const http_request& request) const {
  const std::string details =
      refusal.key_error
          ? std::string("bad key: ") + ToString(*refusal.key_error)
          : std::string(ToString(refusal.code));
  http::status status = http::status::conflict;
  switch (refusal.code) {
    case operation_refusal_code::kBadKey:
      status = http::status::bad_request;
      break;
    case operation_refusal_code::kKeyReused:
      status = http::status::unprocessable_entity;
      break;
    case operation_refusal_code::kOtherMember: {
      http_response redirect(http::status::temporary_redirect, 11);
      redirect.set(http::field::location,
                   "http://" + refusal.owner->ToString() +
                       std::string(ToStringView(request.target())));
      return redirect;
    }
    case operation_refusal_code::kLedgerFull:
    case operation_refusal_code::kTooManyWaiters:
      status = http::status::service_unavailable;
      break;
    case operation_refusal_code::kEpochClosed:
    case operation_refusal_code::kRefusedEarlier:
    case operation_refusal_code::kUnknownEpoch:
      break;
  }
  http_response reply =
      refusal.certainty() == operation_certainty::kNotRun
          ? MakeNotRunReply(status, "http_request_denied", details,
                            refusal.retry_after)
          : MakeUnknownReply(status, "http_request_denied", details);
  reply.set("Papayakeel-Epoch", ledger_->current_epoch().ToString());
  return reply;
}

void operation_runner::ScheduleAdvance() {
  const std::optional<monotonic_time> next = ledger_->NextDeadline();
  if (next == timer_due_)
    return;
  timer_due_ = next;
  timer_->cancel();
  if (!next)
    return;
  timer_->expires_at(*next);
  timer_->async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    timer_due_.reset();
    ledger_->Advance(event_loop::Now());
    ScheduleAdvance();
  });
}

void RegisterOperationRunnerModule(service_registry& registry) {
  registry.Register(std::make_unique<operation_runner>(registry));
}

}  // namespace papayakeel
