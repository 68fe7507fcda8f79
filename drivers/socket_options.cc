// TCP options by setsockopt.
#include "drivers/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace papayakeel {

namespace {

// Milliseconds; several round trips between availability zones (1 to 2 ms)
// and retransmissions (200 ms) fit in.
constexpr unsigned kUnacknowledgedTimeout = 1000;

// Keep-alive probes find a path that has gone silent while nothing is sent:
// after one idle second, one a second, two unanswered ones break the
// connection.
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 2;

}  // namespace

void SetLowLatencyOptions(int socket_handle) {
  const int enabled = 1;
  setsockopt(socket_handle, IPPROTO_TCP, TCP_NODELAY, &enabled,
             sizeof(enabled));
  setsockopt(socket_handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
             &kUnacknowledgedTimeout, sizeof(kUnacknowledgedTimeout));
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
