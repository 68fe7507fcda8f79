// Runs once-only work: looks up each request with an idempotency key in the
// operation ledger, routes the operations that may run, and reports the result
// to every caller that waits for the operation.
#ifndef MODULES_OPERATION_RUNNER_OPERATION_RUNNER_H_
#define MODULES_OPERATION_RUNNER_OPERATION_RUNNER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

#include "core/service.h"
#include "core/service_registry.h"
#include "modules/call_router/routed_call.h"
#include "servers/operations/operation_ledger.h"

namespace papayakeel {

class call_router;
class entry_directory;
class event_loop;

class operation_runner : public service {
 public:
  static constexpr std::string_view kName = "operations";

  using respond_function = std::function<void(http_response)>;

  explicit operation_runner(service_registry& registry);

  std::string_view name() const override { return kName; }
  void Start() override;
  void Stop() override;
  nlohmann::json DumpState() const override;

  // Handles a once-only request with an idempotency key. Returns a function to
  // call when the caller disconnects. `respond` is called exactly once, unless
  // the returned function is called first; the operation then continues
  // without this caller.
  std::function<void()> Handle(routed_call routed, respond_function respond);

  // Returns the reply for a request that was refused before `Handle`. For a
  // request with an idempotency key, `refusal` is replaced by an
  // unknown-outcome reply if an earlier attempt may have run.
  http_response CheckRefusal(const http_request& request,
                             http_response refusal);

  // Valid only after `Start`.
  const operation_ledger& ledger() const { return *ledger_; }

  // Returns the refusal of a once-only request without an idempotency key.
  http_response MakeMissingKeyReply() const;

 private:
  void StartOperation(operation_id operation, routed_call routed);
  void OnOperationEnded(operation_id operation, routed_result ended);
  void OnWaiterFinished(waiter_id waiter, const operation_result& result);
  http_response MakeResultReply(const operation_result& result) const;
  http_response MakeRefusalReply(const operation_refusal& refusal,
                                 const http_request& request) const;
  void ScheduleAdvance();

  service_registry& registry_;
  event_loop* loop_ = nullptr;
  call_router* router_ = nullptr;
  entry_directory* directory_ = nullptr;
  std::unique_ptr<operation_ledger> ledger_;  // Set by Start.
  std::optional<boost::asio::steady_timer> timer_;
  std::optional<monotonic_time> timer_due_;
  std::unordered_map<waiter_id, respond_function> waiting_callers_;
};

void RegisterOperationRunnerModule(service_registry& registry);

}  // namespace papayakeel

#endif  // MODULES_OPERATION_RUNNER_OPERATION_RUNNER_H_
