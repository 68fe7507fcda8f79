// The timer that all connection watches of an event loop share. It runs only
// while there is something to watch.
#ifndef DRIVERS_CONNECTION_POLLER_H_
#define DRIVERS_CONNECTION_POLLER_H_

#include <set>

#include <boost/asio/execution_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/monotonic_time.h"

namespace papayakeel {

class connection_watch;

namespace detail {

class connection_poller : public boost::asio::execution_context::service {
 public:
  using key_type = connection_poller;
  static boost::asio::execution_context::id id;

  // `context` must be an io_context.
  explicit connection_poller(boost::asio::execution_context& context);

  // Polls the watch at each interval until it is removed.
  void Add(connection_watch& watch);
  void Remove(connection_watch& watch);

 private:
  void shutdown() override;
  void Arm();
  void PollAll();

  boost::asio::steady_timer timer_;
  std::set<connection_watch*> watches_;
  bool is_armed_ = false;
};

}  // namespace detail
}  // namespace papayakeel

#endif  // DRIVERS_CONNECTION_POLLER_H_
