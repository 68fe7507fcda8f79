// Socket options set with setsockopt.
#include "drivers/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace papayakeel {

namespace {

// Keep-alive probes detect a network path that drops packets while the
// connection is idle. After one idle second the kernel sends one probe per
// second, and closes the connection after two unanswered probes.
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 2;

// TCP_RTO_MAX_MS, which Linux offers from 6.15 on and older headers lack.
constexpr int kMaxRetransmitIntervalOption = 44;

// Bounds the interval between window probes, which doubles without it, and with
// it the time until a peer that does not answer them is noticed.
constexpr int kMaxRetransmitIntervalMs = 1000;

}  // namespace

void SetLowLatencyOptions(int socket_handle) {
  const int enabled = 1;
  setsockopt(socket_handle, IPPROTO_TCP, TCP_NODELAY, &enabled,
             sizeof(enabled));
  SetUnacknowledgedLimit(socket_handle, kUnacknowledgedLimit);
  setsockopt(socket_handle, IPPROTO_TCP, kMaxRetransmitIntervalOption,
             &kMaxRetransmitIntervalMs, sizeof(kMaxRetransmitIntervalMs));
  setsockopt(socket_handle, SOL_SOCKET, SO_KEEPALIVE, &enabled,
             sizeof(enabled));
  setsockopt(socket_handle, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveSeconds,
             sizeof(kKeepAliveSeconds));
  setsockopt(socket_handle, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveSeconds,
             sizeof(kKeepAliveSeconds));
  setsockopt(socket_handle, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
}

void SetUnacknowledgedLimit(int socket_handle, time_span limit) {
  const unsigned limit_ms = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
  setsockopt(socket_handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
             sizeof(limit_ms));
}

bool HasNothingToRead(int socket_handle) {
  char byte = 0;
  const ssize_t count = recv(socket_handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace papayakeel
