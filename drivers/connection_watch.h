// Notices what reads and writes do not report of a TCP connection.
//
// Bytes that a peer does not take can mean that it reads late, with its receive
// window closed, or that the path to it drops packets. The kernel's limit for
// unacknowledged bytes (SetLowLatencyOptions) ends the connection in both
// cases. A watch extends that limit while the window is closed and the peer
// answers the kernel's window probes, and reports a peer that does not. Where
// the kernel reports no closed window, its limit stays as it is.
//
// A connection that is not read does not show that its peer has closed it; a
// watch reports that too.
#ifndef DRIVERS_CONNECTION_WATCH_H_
#define DRIVERS_CONNECTION_WATCH_H_

#include <functional>
#include <optional>

#include <boost/asio/execution_context.hpp>

#include "core/monotonic_time.h"
#include "drivers/socket_options.h"
#include "drivers/transmit_judge.h"

namespace papayakeel {

namespace detail {
class connection_poller;
}  // namespace detail

// Called from the event loop; may destroy the watch.
struct connection_watch_hooks {
  // Only between WatchForClose and IgnoreClose.
  std::function<void()> peer_closed;
  // The peer takes no bytes, and no longer answers the kernel's probes.
  std::function<void()> peer_silent;
};

// The watch of one connection. It must be destroyed before the event loop.
class connection_watch {
 public:
  connection_watch(boost::asio::execution_context& context,
                   connection_watch_hooks hooks);
  ~connection_watch();
  connection_watch(const connection_watch&) = delete;
  connection_watch& operator=(const connection_watch&) = delete;

  // Begins with a connected socket that has the options of
  // SetLowLatencyOptions. Nothing is watched yet.
  void Start(int socket_handle);
  // Call before the socket is closed. A limit that is extended stays so, for
  // the bytes that the kernel still has to send.
  void Stop();

  // Call after each write: watches until all bytes are sent. `longest_pause` is
  // how long the peer may take none.
  void WatchWrite(time_span longest_pause);

  // How long the peer has taken no bytes; zero if it takes them.
  time_span stalled_for(monotonic_time now) const;

  // Call when reading pauses, and when it goes on.
  void WatchForClose();
  void IgnoreClose();

 private:
  friend class detail::connection_poller;

  void Poll();
  void SetLimit(time_span limit);

  detail::connection_poller& poller_;
  const connection_watch_hooks hooks_;
  int socket_handle_ = -1;  // Negative: not started.
  transmit_judge judge_;
  time_span longest_pause_{0};
  time_span limit_ = kUnacknowledgedLimit;  // As the kernel has it.
  std::optional<monotonic_time> stalled_since_;
  bool is_sending_ = false;
  bool watches_for_close_ = false;
};

}  // namespace papayakeel

#endif  // DRIVERS_CONNECTION_WATCH_H_
