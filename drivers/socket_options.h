// Socket operations that Boost.Asio does not offer.
#ifndef DRIVERS_SOCKET_OPTIONS_H_
#define DRIVERS_SOCKET_OPTIONS_H_

namespace papayakeel {

// Disables Nagle's algorithm, and makes the kernel close a connection whose
// sent data or keep-alive probes stay unacknowledged, which detects a network
// path that drops packets. Errors are ignored, because connections also work
// without these options.
void SetLowLatencyOptions(int socket_handle);

// Returns whether the connection is open and has no pending input: no data, no
// end of stream and no error.
bool HasNothingToRead(int socket_handle);

}  // namespace papayakeel

#endif  // DRIVERS_SOCKET_OPTIONS_H_
