// Configuration of one service in a bundle.
#ifndef SERVERS_BUNDLES_SERVICE_DEFINITION_H_
#define SERVERS_BUNDLES_SERVICE_DEFINITION_H_

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/network_address.h"
#include "servers/bundles/work_class.h"

namespace papayakeel {

// Source of the endpoints of a service.
enum class endpoint_source {
  kVmList,  // VMs in the VM list that run this service.
  kStatic,  // Addresses listed in the bundle.
};

struct service_definition {
  std::string name;
  endpoint_source source = endpoint_source::kVmList;
  std::vector<network_address> static_endpoints;  // Only for kStatic.

  // Number of entry VMs over which the callers of this service are spread.
  int homes = 1;

  // Number of calls that one endpoint runs concurrently.
  int slots_per_endpoint = 2;

  // Maximum number of connections to one endpoint from all entry VMs together.
  int connection_limit = 220;

  // Weights by availability zone. The expected completion time of an endpoint
  // is divided by the weight of its zone. Zones that are not listed have weight
  // 1; weight 0 excludes a zone.
  std::map<std::string, double> zone_weights;

  // Initial estimate of the service time, used until calls have been measured.
  std::chrono::milliseconds expected_service_time{20};

  // Server time per second that probes from all entry VMs together may use on
  // one endpoint.
  std::chrono::milliseconds probe_budget_per_second{12};

  // Server time that one probe uses.
  std::chrono::milliseconds probe_cost{6};

  // Retry budget (retries and requests that callers repeat) and hedging budget,
  // each as a fraction of all calls.
  double retry_share = 0.1;
  double hedge_share = 0.05;

  // Maximum number of queued calls per entry VM.
  int queue_limit = 1024;

  // Response header in which backend servers return the request id. Empty when
  // they do not return it.
  std::string answer_id_header;

  // Matched in order. A request that matches no class is rejected with status
  // 404.
  std::vector<work_class> classes;

  // Returns the class of a request, or nullptr when none matches.
  const work_class* Classify(std::string_view method,
                             std::string_view target) const;
};

}  // namespace papayakeel

#endif  // SERVERS_BUNDLES_SERVICE_DEFINITION_H_
