// Error responses with Proxy-Status (RFC 9209) and Retry-After headers.
#include "modules/caller_gateway/caller_reply.h"

#include <string>

#include <nlohmann/json.hpp>

namespace papayakeel {

namespace {

http_response MakeErrorReply(http::status status,
                             std::string_view outcome,
                             std::string_view proxy_error,
                             std::string_view details) {
  http_response reply(status, 11);
  reply.set("Papayakeel-Outcome",
            boost::beast::string_view(outcome.data(), outcome.size()));
  const std::string proxy_status =
      "papayakeel; error=" + std::string(proxy_error) + "; details=\"" +
      std::string(details) + "\"";
  reply.set("Proxy-Status", proxy_status);
  reply.set("Papayakeel-Reason",
            boost::beast::string_view(details.data(), details.size()));
  reply.set(http::field::content_type, "application/json");
  reply.body() = nlohmann::json({{"outcome", std::string(outcome)},
                                 {"error", std::string(proxy_error)},
                                 {"details", std::string(details)}})
                     .dump() +
                 "\n";
  return reply;
}

// Returns the RFC 9209 error type for a refusal reason.
const char* ProxyErrorFor(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNoEndpoint:
    case refusal_reason::kAttemptsFailed:
      return "destination_unavailable";
    case refusal_reason::kTooLate:
      return "http_response_timeout";
    case refusal_reason::kDeadlineExpired:
    case refusal_reason::kOverload:
    case refusal_reason::kQueueFull:
      return "connection_limit_reached";
    case refusal_reason::kRetryBudgetSpent:
      return "http_request_denied";
    case refusal_reason::kNone:
      return "proxy_internal_error";
  }
  return "proxy_internal_error";
}

}  // namespace

http_response MakeNotRunReply(http::status status,
                              std::string_view proxy_error,
                              std::string_view details,
                              time_span retry_after) {
  http_response reply = MakeErrorReply(status, "not-run", proxy_error, details);
  if (retry_after > time_span::zero()) {
    // Retry-After is in whole seconds. Rounding up prevents early retries.
    const std::int64_t seconds =
        std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    reply.set(http::field::retry_after, std::to_string(seconds));
  }
  return reply;
}

http_response MakeUnknownReply(http::status status,
                               std::string_view proxy_error,
                               std::string_view details) {
  return MakeErrorReply(status, "unknown", proxy_error, details);
}

http_response MakeReply(const call_result& result) {
  const char* error = ProxyErrorFor(result.reason);
  const char* details = ToString(result.reason);
  if (result.outcome == call_outcome::kUnknown) {
    const http::status status = result.reason == refusal_reason::kTooLate
                                    ? http::status::gateway_timeout
                                    : http::status::bad_gateway;
    return MakeUnknownReply(status, error, details);
  }
  const http::status status = result.reason == refusal_reason::kRetryBudgetSpent
                                  ? http::status::too_many_requests
                                  : http::status::service_unavailable;
  http_response reply =
      MakeNotRunReply(status, error, details, result.retry_after);
  if (result.reason == refusal_reason::kAttemptsFailed)
    reply.set("Papayakeel-Retry", "no");
  return reply;
}

}  // namespace papayakeel
