// Interface that an adapter implements for an entry VM: parsing of address
// lookups and load reports, serialization of address lists, header names and
// the readiness path.
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

// A caller's lookup of entry VM addresses.
struct address_question {
  std::string host;
  std::string availability_zone;  // Of the caller.
};

struct caller_contract {
  header_names headers;
  std::string readiness_path;
  // Parses an address lookup from a request target. Returns nullopt if the
  // target is not an address lookup.
  std::function<std::optional<address_question>(std::string_view target)>
      read_address_question;
  // Returns the JSON response body for an address lookup.
  std::function<std::string(const std::vector<network_address>& addresses,
                            time_span keep_for)>
      write_addresses;
  // Parses the load report in a header value. Returns nullopt if the value is
  // malformed.
  std::function<std::optional<endpoint_load>(std::string_view value)> read_load;
  // Whether a value of the header `endpoint_leaving` announces the leaving.
  std::function<bool(std::string_view value)> read_leaving;
};

}  // namespace papayakeel

#endif  // MODULES_ENTRY_GATEWAY_CALLER_CONTRACT_H_
