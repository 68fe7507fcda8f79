// What an adapter provides for the callers' and the platform's side of an
// entry VM: how questions are recognised and how answers are written.
#ifndef MODULES_ENTRY_GATEWAY_CALLER_CONTRACT_H_
#define MODULES_ENTRY_GATEWAY_CALLER_CONTRACT_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "modules/entry_gateway/header_names.h"
#include "servers/scheduling/attempt_outcome.h"

namespace papayakeel {

// A caller's question for addresses.
struct address_question {
  std::string host;
  std::string availability_zone;  // Of the caller.
};

struct caller_contract {
  header_names headers;
  std::string readiness_path;
  // Returns the question that a request target asks, if it is one.
  std::function<std::optional<address_question>(std::string_view target)>
      read_address_question;
  // Returns the body of the answer, in JSON.
  std::function<std::string(const std::vector<network_address>& addresses,
                            time_span keep_for)>
      write_addresses;
  // Returns the load that a header value reports, if it is readable.
  std::function<std::optional<endpoint_load>(std::string_view value)> read_load;
};

}  // namespace papayakeel

#endif  // MODULES_ENTRY_GATEWAY_CALLER_CONTRACT_H_
