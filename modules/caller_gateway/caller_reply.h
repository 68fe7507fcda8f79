// Answers that the system itself gives to callers. Each states what is known
// about the request's outcome.
#ifndef MODULES_CALLER_GATEWAY_CALLER_REPLY_H_
#define MODULES_CALLER_GATEWAY_CALLER_REPLY_H_

#include <string_view>

#include "core/monotonic_time.h"
#include "modules/http/http_types.h"
#include "servers/dispatch/call_result.h"

namespace papayakeel {

// A refusal: the request was certainly not run.
http_response MakeNotRunReply(http::status status,
                              std::string_view proxy_error,
                              std::string_view details,
                              time_span retry_after);

// Nothing is known about whether the request was run.
http_response MakeUnknownReply(http::status status,
                               std::string_view proxy_error,
                               std::string_view details);

// The reply for a call that ended without an answer.
http_response MakeReply(const call_result& result);

}  // namespace papayakeel

#endif  // MODULES_CALLER_GATEWAY_CALLER_REPLY_H_
