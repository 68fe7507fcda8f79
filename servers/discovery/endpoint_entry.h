// One endpoint as it registers itself in the platform's store.
#ifndef SERVERS_DISCOVERY_ENDPOINT_ENTRY_H_
#define SERVERS_DISCOVERY_ENDPOINT_ENTRY_H_

#include <cstdint>
#include <string>

#include "core/monotonic_time.h"
#include "core/network_address.h"

namespace papayakeel {

struct endpoint_entry {
  std::string id;  // Of one start of the endpoint, mostly.
  std::string service;
  network_address address;
  std::string availability_zone;
  int slots = 1;
  bool is_leaving = false;
  std::uint64_t sequence = 0;  // Of the endpoint's reports; restarts at 0.
  std::uint64_t started_unix_ms = 0;  // Tells starts under one id apart.
  time_span warm_up_left{0};          // How long it stays slow after its start.
};

}  // namespace papayakeel

#endif  // SERVERS_DISCOVERY_ENDPOINT_ENTRY_H_
