// Reads TCP_INFO. Its structure in <netinet/tcp.h> is an older, shorter one,
// and both headers cannot be included together.
#include "drivers/tcp_state.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace papayakeel {

namespace {

// Values of tcpi_state, which <linux/tcp.h> does not name.
enum kernel_state : std::uint8_t {
  kTimeWait = 6,
  kClosed = 7,
  kCloseWait = 8,
  kLastAck = 9,
  kClosing = 11,
};

bool IsPeerClosed(std::uint8_t state) {
  return state == kTimeWait || state == kClosed || state == kCloseWait ||
         state == kLastAck || state == kClosing;
}

}  // namespace

std::optional<tcp_state> ReadTcpState(int socket_handle) {
  tcp_info info = {};
  socklen_t length = sizeof(info);
  if (getsockopt(socket_handle, IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
    return std::nullopt;
  // Older kernels report less.
  if (length < offsetof(tcp_info, tcpi_notsent_bytes) +
                   sizeof(info.tcpi_notsent_bytes)) {
    return std::nullopt;
  }
  tcp_state state;
  state.is_peer_closed = IsPeerClosed(info.tcpi_state);
  state.is_closed = info.tcpi_state == kClosed;
  state.unacknowledged_segments = info.tcpi_unacked;
  state.unsent_bytes = info.tcpi_notsent_bytes;
  state.unanswered_probes = info.tcpi_probes;
  state.since_last_acknowledgement =
      std::chrono::milliseconds(info.tcpi_last_ack_recv);
  return state;
}

}  // namespace papayakeel
