// Names of the headers that the gateway reads and sets. The adapter provides
// them.
#ifndef MODULES_ENTRY_GATEWAY_HEADER_NAMES_H_
#define MODULES_ENTRY_GATEWAY_HEADER_NAMES_H_

#include <string>

namespace papayakeel {

struct header_names {
  std::string request_id;         // Set by the caller, echoed by the endpoint.
  std::string time_left;          // Milliseconds that the caller still waits.
  std::string answer_proof;       // Only whole answers of endpoints bear it.
  std::string expected_endpoint;  // Id of the endpoint a request is meant for.
  std::string endpoint_id;        // Id of the endpoint that answers.
  std::string endpoint_load;      // The endpoint's load report.
  std::string not_run;            // The endpoint did not run the request.
};

}  // namespace papayakeel

#endif  // MODULES_ENTRY_GATEWAY_HEADER_NAMES_H_
