// Own answers, and serializing of HTTP messages that are passed on.
#ifndef MODULES_ENTRY_GATEWAY_HTTP_MESSAGE_H_
#define MODULES_ENTRY_GATEWAY_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "modules/http/http_types.h"

namespace papayakeel {

struct http_header {
  std::string name;
  std::string value;
};

// Returns an answer of this process, not of an endpoint.
http_response MakeOwnAnswer(http::status status, std::string_view reason);

// Removes the headers that concern one connection only, those that Connection
// names included.
void RemoveHopByHopHeaders(http::fields& fields);

// Returns the request line and headers, with the empty line, for a body of
// `body_bytes`. `changed` headers replace those of the same name.
std::string SerializeRequestHeader(const http_request& request,
                                   std::size_t body_bytes,
                                   const std::vector<http_header>& changed);

// Returns the whole response. An answer to HEAD keeps its length and has no
// body.
std::string SerializeResponse(const http_response& response,
                              bool closes,
                              bool is_head);

}  // namespace papayakeel

#endif  // MODULES_ENTRY_GATEWAY_HTTP_MESSAGE_H_
