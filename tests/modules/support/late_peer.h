// A peer of tests that reads late, and how long others may take to notice one
// that is gone.
#ifndef TESTS_MODULES_SUPPORT_LATE_PEER_H_
#define TESTS_MODULES_SUPPORT_LATE_PEER_H_

#include <chrono>
#include <cstddef>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/network_address.h"

namespace papayakeel {

// More than the kernels on both ends take of a connection that is not read.
constexpr std::size_t kUnreadBytes = 16 << 20;

// Pauses of a sound peer, the longer one longer than the kernel's own limit for
// unacknowledged bytes.
constexpr std::chrono::milliseconds kLatePause{2500};
constexpr std::chrono::milliseconds kShortPause{1000};

// How soon a dark peer is to be noticed. Two seconds for the kernel's limit of
// one second and what it measures it by.
constexpr std::chrono::milliseconds kDarkLimit{2000};
// The interval between probes comes on top: a second, or with kernels that
// cannot bound it as long as the window has been closed.
constexpr std::chrono::milliseconds kDarkWithClosedWindowLimit{3500};
// One idle second, two probes a second apart, and the kernel's slack.
constexpr std::chrono::milliseconds kDarkIdleLimit{4500};

// In which callers that left are to be noticed.
constexpr std::chrono::milliseconds kLeaveLimit{500};

// A server on the loopback that takes one connection and reads nothing of it
// until it is told to.
class late_server {
 public:
  explicit late_server(boost::asio::io_context& context);

  network_address address() const;
  // Waits for the connection.
  void Accept();
  // Reads this many bytes, while the event loop runs, and writes the answer.
  void ReadAndAnswer(std::size_t bytes, const std::string& answer);
  // Drops whatever arrives from now on.
  void GoDark();

 private:
  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket connection_;
};

}  // namespace papayakeel

#endif  // TESTS_MODULES_SUPPORT_LATE_PEER_H_
