// A message between two entry VMs. The message type determines which fields are
// used. The codec encodes only those.
#ifndef SERVERS_MEMBERSHIP_PEER_MESSAGE_H_
#define SERVERS_MEMBERSHIP_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "servers/dispatch/endpoint_finding.h"
#include "servers/membership/member.h"

namespace papayakeel {

enum class peer_message_type {
  kHello,          // One step of mutual authentication.
  kPing,           // Requests an ack with the same number.
  kPingRequest,    // Asks the receiver to ping `target`.
  kAck,            // Answers a ping, or a ping request that succeeded.
  kAnnounce,       // Carries updates ahead of the next ping.
  kTableRequest,   // Requests the records of all live members.
  kTable,          // Part of the reply to a table request. Empty if the
                   // digests are equal.
  kBundleRequest,  // Requests the bundle the receiver announced.
  kBundle,         // A bundle as it was published.
  kFinding,        // Observation of the sender about an endpoint.
};

// Returns the name of `type` for the wire, logs and metrics.
const char* ToString(peer_message_type type);

struct peer_message {
  peer_message_type type = peer_message_type::kPing;

  // Record of the sender. Hello messages carry only its peer address.
  member sender;

  std::uint64_t number = 0;  // Ping, ping request, ack.
  // Ping, ack, table request: digest of the sender's table. 0 in the table
  // requests of earlier versions.
  std::uint64_t digest = 0;
  std::vector<member> updates;  // Ping, ping request, ack, announce, table.
  network_address target;       // Ping request.
  std::string published;        // Bundle.
  endpoint_finding finding;     // Finding.

  unsigned hello_step = 0;  // Hello: 1 to 3.
  std::string challenge;    // Hello 1 and 2: 32 random bytes.
  std::string response;     // Hello 2 and 3: 32 bytes.
};

}  // namespace papayakeel

#endif  // SERVERS_MEMBERSHIP_PEER_MESSAGE_H_
