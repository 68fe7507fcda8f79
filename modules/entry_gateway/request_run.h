// One request from its arrival to its answer: asks for slots, sends attempts,
// and decides what the caller is told.
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

// How a request ended, for metrics.
enum class request_end {
  kAnswered,     // With an endpoint's answer.
  kServerError,  // With an endpoint's failure.
  kRefused,      // Certainly not run.
  kUnknown,      // It may have run.
  kTimedOut,     // Out of time while an endpoint worked on it.
  kCallerGone,
};

// Returns the name of `end` for logs and metrics.
const char* ToString(request_end end);

struct request_plan {
  std::string service;
  repeat_rule repeat = repeat_rule::kOnceOnly;
  std::string work_class;
  std::string caller_id;  // The caller's request id.
  time_span goal{0};
  int importance = 0;
  int max_attempts = 1;
  // The route's timeout, or the caller's limit where that is shorter.
  monotonic_time deadline;
  std::uint64_t state_version = 0;
};

struct request_services {
  boost::asio::io_context* context = nullptr;
  slot_link* slots = nullptr;
  endpoint_link* endpoints = nullptr;
  const header_names* headers = nullptr;
  std::string availability_zone;
  // Called once at the end, with the memory that the body took.
  std::function<void(request_end end,
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

 private:
  void OnGranted(const slot_grant& grant);
  void OnRejected(const slot_rejection& rejection);
  void OnResult(std::uint64_t attempt, endpoint_result result);
  void OnDeadline();
  void OnCallerGone();
  // Ends without any further attempt, by what is known by now.
  void Conclude(time_span retry_after, std::string_view reason);
  void Answer(http_response response, request_end end, std::string_view reason);
  void Stop(request_end end, std::string_view reason);
  void CancelAttempts();
  std::string MakeHeader(const slot_grant& grant) const;
  bool MayRepeat() const { return plan_.repeat == repeat_rule::kIdempotent; }

  const request_services& services_;
  caller_request request_;
  const request_plan plan_;
  std::shared_ptr<const std::string> body_;
  boost::asio::steady_timer timer_;
  std::uint64_t number_ = 0;  // With the slot link.
  std::map<std::uint64_t, endpoint_link::exchange_id> attempts_;  // Running.
  int sent_ = 0;
  bool may_have_run_ = false;
  bool is_rejected_ = false;
  bool is_caller_gone_ = false;
  bool is_ended_ = false;
  std::optional<http_response> failure_;  // An endpoint's 5xx answer.
};

}  // namespace papayakeel

#endif  // MODULES_ENTRY_GATEWAY_REQUEST_RUN_H_
