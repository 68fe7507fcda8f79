// Socket options that Boost.Asio does not name.
#ifndef DRIVERS_SOCKET_OPTIONS_H_
#define DRIVERS_SOCKET_OPTIONS_H_

namespace papayakeel {

// Sends small writes at once, and lets the kernel break a connection whose
// sent bytes stay unacknowledged, which is how a silent path shows. Errors are
// ignored: the options only help.
void SetLowLatencyOptions(int socket_handle);

// Whether the connection is open and nothing has come in: neither bytes nor
// its end.
bool HasNothingToRead(int socket_handle);

}  // namespace papayakeel

#endif  // DRIVERS_SOCKET_OPTIONS_H_
