// Lifecycle of one request from arrival to response: acquires slots, sends
// attempts to endpoints and chooses the response to the caller.
#ifndef MODULES_ENTRY_GATEWAY_REQUEST_RUN_H_
#define MODULES_ENTRY_GATEWAY_REQUEST_RUN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "modules/endpoint_link/endpoint_link.h"
#include "modules/entry_gateway/caller_contract.h"
#include "modules/entry_gateway/session_host.h"
#include "modules/slot_link/slot_link.h"

namespace papayakeel {

// Outcome of a request, for logs and metrics.
enum class request_outcome {
  kAnswered,     // An endpoint's response was returned.
  kServerError,  // An endpoint's 5xx response was returned.
  kRefused,      // Rejected; no endpoint ran the request.
  kUnknown,      // An endpoint may have run the request.
  kTimedOut,     // The deadline passed during an attempt.
  kCallerDisconnected,
};

// Returns the name of `end` for logs and metrics.
const char* ToString(request_outcome end);

struct request_plan {
  std::string service;
  repeat_rule repeat = repeat_rule::kOnceOnly;
  std::string work_class;
  std::string caller_id;  // The caller's request id.
  time_span goal{0};
  int importance = 0;
  int max_attempts = 1;
  // The earlier of the route's timeout and the caller's time limit.
  monotonic_time deadline;
  // The caller's time limit alone, if it stated one.
  std::optional<time_span> stated_limit;
  std::uint64_t state_version = 0;
};

class request_run;

struct request_services {
  boost::asio::io_context* context = nullptr;
  slot_link* slots = nullptr;
  endpoint_link* endpoints = nullptr;
  const header_names* headers = nullptr;
  std::string availability_zone;
  // Whether a request whose caller waits until `deadline` may still be sent to
  // an endpoint.
  std::function<bool(monotonic_time deadline)> may_pass_on;
  // Time since the store or a relay last confirmed the list of endpoints.
  std::function<time_span()> state_age;
  // Called once when the request ends, with the size of its body.
  std::function<void(request_run& run,
                     request_outcome end,
                     repeat_rule repeat,
                     time_span elapsed,
                     std::size_t body_bytes)>
      ended;
};

class request_run : public std::enable_shared_from_this<request_run> {
 public:
  request_run(const request_services& services,
              caller_request request,
              request_plan plan);

  void Start();

  // The process begins to stop: refuses the request if it waits and may no
  // longer be passed on.
  void OnShutdownBegin();
  // The process ends: answers the request although its attempts are running.
  void OnShutdownEnd();

 private:
  void OnGranted(const slot_grant& grant);
  void OnRejected(const slot_rejection& rejection);
  void OnResult(std::uint64_t attempt, endpoint_result result);
  void OnDeadline();
  void OnCallerDisconnected();
  // Ends the request without another attempt. The response depends on the
  // outcomes of the attempts that were made.
  void Conclude(time_span retry_after, std::string_view reason);
  // `memory` is what the response of an endpoint holds.
  void Answer(http_response response,
              request_outcome end,
              std::string_view reason,
              std::shared_ptr<const answer_share> memory = nullptr);
  void Stop(request_outcome end, std::string_view reason);
  void CancelAttempts();
  std::string MakeHeader(const slot_grant& grant) const;
  bool MayRepeat() const { return PermitsRepeats(plan_.repeat); }

  const request_services& services_;
  caller_request request_;
  const request_plan plan_;
  std::shared_ptr<const std::string> body_;
  boost::asio::steady_timer timer_;
  std::uint64_t number_ = 0;  // Request number in the slot link.
  std::map<std::uint64_t, endpoint_link::exchange_id> attempts_;  // In flight.
  int sent_ = 0;
  bool may_have_run_ = false;
  bool is_rejected_ = false;
  bool is_caller_disconnected_ = false;
  bool is_ended_ = false;
  std::optional<http_response> failure_;  // An endpoint's 5xx response.
  std::shared_ptr<const answer_share> failure_memory_;
};

}  // namespace papayakeel

#endif  // MODULES_ENTRY_GATEWAY_REQUEST_RUN_H_
