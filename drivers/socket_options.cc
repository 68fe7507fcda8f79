// Socket options set with setsockopt.
#include "drivers/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace papayakeel {

namespace {

// Long enough for several round trips between availability zones (1 to 2 ms)
// and several retransmissions (200 ms).
constexpr unsigned kUnacknowledgedTimeoutMs = 1000;

// Keep-alive probes detect a network path that drops packets while the
// connection is idle. After one idle second the kernel sends one probe per
// second, and closes the connection after two unanswered probes.
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 2;

}  // namespace

void SetLowLatencyOptions(int socket_handle) {
  const int enabled = 1;
  setsockopt(socket_handle, IPPROTO_TCP, TCP_NODELAY, &enabled,
             sizeof(enabled));
  setsockopt(socket_handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
             &kUnacknowledgedTimeoutMs, sizeof(kUnacknowledgedTimeoutMs));
  setsockopt(socket_handle, SOL_SOCKET, SO_KEEPALIVE, &enabled,
             sizeof(enabled));
  setsockopt(socket_handle, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveSeconds,
             sizeof(kKeepAliveSeconds));
  setsockopt(socket_handle, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveSeconds,
             sizeof(kKeepAliveSeconds));
  setsockopt(socket_handle, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
}

bool HasNothingToRead(int socket_handle) {
  char byte = 0;
  const ssize_t count = recv(socket_handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace papayakeel
