// The link of one machine for tests: forwards connections to a server, and
// delivers what the server writes on all of them at a limited rate.
#ifndef TESTS_MODULES_SUPPORT_THROTTLED_LINK_H_
#define TESTS_MODULES_SUPPORT_THROTTLED_LINK_H_

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/monotonic_time.h"
#include "core/network_address.h"

namespace papayakeel {

class throttled_link {
 public:
  // Listens at `listen` and forwards to `server`. All connections together
  // deliver `bytes_per_second`, in equal shares.
  throttled_link(boost::asio::io_context& context,
                 const network_address& listen,
                 network_address server,
                 std::size_t bytes_per_second);
  ~throttled_link();

  network_address address() const { return AddressOf(listeners_.front()); }
  // Forwards to a further server over the same link. Returns the address of the
  // link for it.
  network_address AddServer(network_address server);

 private:
  struct connection;
  struct listener {
    boost::asio::ip::tcp::acceptor acceptor;
    network_address server;
  };

  static network_address AddressOf(const listener& from);
  void Accept(listener& at);
  void Forward(const std::shared_ptr<connection>& forwarded);
  void ReadFromServer(const std::shared_ptr<connection>& forwarded);
  void Deliver();

  const std::size_t bytes_per_second_;
  std::list<listener> listeners_;
  boost::asio::steady_timer timer_;
  monotonic_time delivered_at_;
  std::vector<std::shared_ptr<connection>> connections_;
};

}  // namespace papayakeel

#endif  // TESTS_MODULES_SUPPORT_THROTTLED_LINK_H_
