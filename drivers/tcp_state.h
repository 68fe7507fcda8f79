// What the kernel reports of a TCP connection.
#ifndef DRIVERS_TCP_STATE_H_
#define DRIVERS_TCP_STATE_H_

#include <cstdint>
#include <optional>

#include "core/monotonic_time.h"

namespace papayakeel {

struct tcp_state {
  // The peer has closed or reset the connection, or has closed its sending
  // half. Also true while bytes that arrived before are not read yet.
  bool is_peer_closed = false;
  // Neither half is open: the connection was reset, or the kernel has ended it.
  bool is_closed = false;
  std::uint32_t unacknowledged_segments = 0;
  std::uint32_t unsent_bytes = 0;  // Written, but not sent yet.
  // Window or keep-alive probes in a row without an answer.
  std::uint32_t unanswered_probes = 0;
  time_span since_last_acknowledgement{0};
};

// Returns nullopt if the kernel reports nothing of the socket.
std::optional<tcp_state> ReadTcpState(int socket_handle);

}  // namespace papayakeel

#endif  // DRIVERS_TCP_STATE_H_
