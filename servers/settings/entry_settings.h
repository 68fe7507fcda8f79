// Settings of an entry VM that receives its desired state and its endpoints
// from the platform's store. The adapter in platform/ reads these settings from
// the platform's settings file.
#ifndef SERVERS_SETTINGS_ENTRY_SETTINGS_H_
#define SERVERS_SETTINGS_ENTRY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/monotonic_time.h"
#include "core/network_address.h"

namespace papayakeel {

struct entry_settings {
  std::string vm_name;
  std::string availability_zone;

  network_address caller_listen;     // Requests from callers.
  network_address readiness_listen;  // The platform's readiness checks.
  network_address lookup_listen;     // Callers that look up addresses.
  network_address peer_listen;       // Other entry VMs.
  network_address slot_listen;       // Datagrams between entry VMs.
  network_address metrics_listen;    // Metrics, state and health for operators.
  std::vector<network_address> peer_seeds;

  network_address relay_listen;  // Other entry VMs that read the store through
                                 // this entry VM.

  network_address store;

  // CPU capacity in thousandths of a core.
  std::uint64_t capacity = 1000;

  std::size_t memory_limit_bytes = 256 * 1024 * 1024;
  std::size_t descriptor_limit = 4096;

  // Speed of the link of this VM; 0 when unknown.
  std::uint64_t link_bytes_per_second = 0;

  // Time between SIGTERM and SIGKILL.
  time_span shutdown_grace = std::chrono::seconds(6);
  // Maximum time for which callers may cache a lookup response.
  time_span lookup_ttl_limit = std::chrono::seconds(5);
  // Retry budget over all entry VMs. Retries and hedges within `repeat_window`
  // are limited to `repeat_ratio` per request plus `repeat_slack`.
  double repeat_ratio = 0;
  time_span repeat_window = std::chrono::seconds(10);
  double repeat_slack = 0;
  // Health checks per second for each endpoint, over all entry VMs.
  double probes_per_second = 0;
};

}  // namespace papayakeel

#endif  // SERVERS_SETTINGS_ENTRY_SETTINGS_H_
