// Socket operations that Boost.Asio does not offer.
#ifndef DRIVERS_SOCKET_OPTIONS_H_
#define DRIVERS_SOCKET_OPTIONS_H_

#include <chrono>

#include "core/monotonic_time.h"

namespace papayakeel {

// Long enough for several round trips between availability zones (1 to 2 ms)
// and several retransmissions (200 ms).
constexpr time_span kUnacknowledgedLimit = std::chrono::seconds(1);

// Disables Nagle's algorithm, and makes the kernel close a connection whose
// sent data or keep-alive probes stay unacknowledged, which detects a network
// path that drops packets. The limit for sent data is `kUnacknowledgedLimit`;
// it also ends a connection whose peer keeps its receive window closed for
// longer. Errors are ignored, because connections also work without these
// options.
void SetLowLatencyOptions(int socket_handle);

// Sets how long sent data may stay unacknowledged, or the peer's receive window
// closed, until the kernel closes the connection. Errors are ignored.
void SetUnacknowledgedLimit(int socket_handle, time_span limit);

// Returns whether the connection is open and has no pending input: no data, no
// end of stream and no error.
bool HasNothingToRead(int socket_handle);

}  // namespace papayakeel

#endif  // DRIVERS_SOCKET_OPTIONS_H_
