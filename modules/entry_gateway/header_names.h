// Names of the headers that the gateway reads and sets, provided by the
// adapter.
#ifndef MODULES_ENTRY_GATEWAY_HEADER_NAMES_H_
#define MODULES_ENTRY_GATEWAY_HEADER_NAMES_H_

#include <string>

namespace papayakeel {

struct header_names {
  std::string request_id;    // Set by the caller, echoed by the endpoint.
  std::string time_left;     // Remaining time of the caller in ms.
  std::string answer_proof;  // Present only in complete endpoint responses.
  std::string expected_endpoint;  // Id of the intended endpoint.
  std::string endpoint_id;        // Id of the responding endpoint.
  std::string endpoint_load;      // The endpoint's load report.
  std::string endpoint_leaving;   // The endpoint is about to leave.
  std::string endpoint_warm_up;   // Whole ms for which it stays cold.
  std::string not_run;            // The endpoint did not run the request.
};

}  // namespace papayakeel

#endif  // MODULES_ENTRY_GATEWAY_HEADER_NAMES_H_
