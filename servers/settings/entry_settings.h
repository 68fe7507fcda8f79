// Settings of an entry VM whose desired state and endpoints come from the
// platform's store. The adapter in platform/ reads them from the platform's
// settings file.
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

  network_address caller_listen;     // Requests.
  network_address readiness_listen;  // The platform's readiness questions.
  network_address lookup_listen;     // Callers that ask for addresses.
  network_address peer_listen;       // Other entry VMs.
  network_address slot_listen;       // Datagrams between entry VMs.
  network_address metrics_listen;    // Operators: metrics, state, health.
  std::vector<network_address> peer_seeds;

  network_address relay_listen;  // Entry VMs that read the store through us.

  network_address store;

  // Processor capacity in thousandths of a core.
  std::uint64_t capacity = 1000;

  std::size_t memory_limit_bytes = 256 * 1024 * 1024;
  std::size_t descriptor_limit = 4096;

  // Between SIGTERM and SIGKILL.
  time_span shutdown_grace = std::chrono::seconds(6);
  // Longest time for which callers may keep an answer about addresses.
  time_span lookup_ttl_limit = std::chrono::seconds(5);
  // The budget for repeats over all entry VMs; see `repeat_window`.
  double repeat_ratio = 0;
  time_span repeat_window = std::chrono::seconds(10);
  double repeat_slack = 0;
  // Status checks for each endpoint and second, over all entry VMs.
  double probes_per_second = 0;
};

}  // namespace papayakeel

#endif  // SERVERS_SETTINGS_ENTRY_SETTINGS_H_
