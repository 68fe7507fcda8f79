// The entry that an endpoint registers for itself in the platform's store.
#ifndef SERVERS_DISCOVERY_ENDPOINT_ENTRY_H_
#define SERVERS_DISCOVERY_ENDPOINT_ENTRY_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "core/monotonic_time.h"
#include "core/network_address.h"

namespace papayakeel {

struct endpoint_entry {
  std::string id;  // Usually unique to one start of the endpoint.
  std::string service;
  network_address address;
  std::string availability_zone;
  int slots = 1;
  bool is_leaving = false;
  std::uint64_t sequence = 0;         // Report number; restarts at 0.
  std::uint64_t started_unix_ms = 0;  // Distinguishes starts with one id.
  time_span warm_up_left{0};          // When the report was written.
  // The endpoint is cold until then; zero when it is not. Set when the report
  // is first read, because a report is read again with each listing.
  monotonic_time warm_up_ends_at;

  // Whether `other` is a later report, or of a later start, of this id.
  bool IsOlderThan(const endpoint_entry& other) const {
    return std::tie(started_unix_ms, sequence) <
           std::tie(other.started_unix_ms, other.sequence);
  }
};

}  // namespace papayakeel

#endif  // SERVERS_DISCOVERY_ENDPOINT_ENTRY_H_
