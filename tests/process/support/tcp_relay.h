// Forwards TCP connections to a process, and harms them: a cut loses every byte
// without closing anything, as a partition does; it may hit one direction only.
#ifndef TESTS_PROCESS_SUPPORT_TCP_RELAY_H_
#define TESTS_PROCESS_SUPPORT_TCP_RELAY_H_

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/network_address.h"

namespace papayakeel {

enum class relay_fault {
  kNone,
  kCut,        // Loses the bytes of both directions.
  kCutTarget,  // Loses the bytes on their way to the target.
  kCutSource,  // Loses the bytes on their way back.
  kDelay,      // Holds bytes for a while.
};

class tcp_relay {
 public:
  tcp_relay(const network_address& listen, const network_address& target);
  ~tcp_relay();
  tcp_relay(const tcp_relay&) = delete;
  tcp_relay& operator=(const tcp_relay&) = delete;

  void Cut() { SetFault(relay_fault::kCut); }
  void SetFault(relay_fault fault) { fault_ = fault; }

  network_address local_address() const;

  // Resets all connections that are open now.
  void Reset();

  // Forwards again. Connections that lost bytes are closed.
  void Heal();

 private:
  struct link {
    explicit link(boost::asio::io_context& context)
        : near(context), far(context) {}
    boost::asio::ip::tcp::socket near;
    boost::asio::ip::tcp::socket far;
    char near_bytes[16384];
    char far_bytes[16384];
    bool has_lost = false;
  };
  using link_pointer = std::shared_ptr<link>;

  void Accept();
  void Forward(const link_pointer& pair, bool from_near);
  void PassOn(const link_pointer& pair, bool from_near, std::size_t count);
  bool Loses(bool from_near) const;

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const boost::asio::ip::tcp::endpoint target_;
  std::vector<link_pointer> links_;  // Only touched by `thread_`.
  std::atomic<relay_fault> fault_ = relay_fault::kNone;
  std::thread thread_;
};

}  // namespace papayakeel

#endif  // TESTS_PROCESS_SUPPORT_TCP_RELAY_H_
