// A server on the loopback that writes the bytes that a test names, whether
// they are an answer or not.
#ifndef TESTS_MODULES_SUPPORT_SCRIPTED_SERVER_H_
#define TESTS_MODULES_SUPPORT_SCRIPTED_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/monotonic_time.h"
#include "core/network_address.h"

namespace papayakeel {

// What the server does with the connection once it has written its bytes.
enum class script_end {
  kKeepOpen,
  kClose,
  kReset,
  // Resets it in the same step in which it writes the bytes, so that the peer
  // notices both at once.
  kResetAtOnce,
  kHalfClose,  // Ends its output and reads on until the peer closes.
};

// What the server writes after a request.
struct server_script {
  std::string bytes;
  // Written again and again until the connection closes; empty: nothing.
  std::string endless;
  // Pause between two writes of `endless`.
  time_span pause{0};
  script_end end = script_end::kKeepOpen;
  // Bytes of the request's body that are read before anything is written.
  std::size_t read_first = 0;
};

// Names the script for a request, given as its bytes. Connections and the
// requests of each are numbered from 0.
using script_function = std::function<server_script(std::size_t connection,
                                                    std::size_t request,
                                                    const std::string& header)>;

class scripted_server {
 public:
  scripted_server(boost::asio::io_context& context, script_function script);

  network_address address() const;
  std::size_t connections() const { return connections_.size(); }
  // Requests whose headers have arrived whole, over all connections.
  std::size_t requests() const { return requests_; }
  // Bytes that the peer's and the own kernel have taken.
  std::uint64_t bytes_written() const { return bytes_written_; }
  bool AllAreClosed() const;
  // Writes `bytes` on a connection without a request.
  void WriteExtra(std::size_t connection, const std::string& bytes);

 private:
  struct served_connection {
    explicit served_connection(boost::asio::io_context& context)
        : socket(context), timer(context) {}
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::size_t index = 0;
    std::size_t requests = 0;
    std::string received;
    server_script script;
    bool is_closed = false;
  };
  using connection_pointer = std::shared_ptr<served_connection>;

  void Accept();
  void Read(const connection_pointer& connection);
  void ReadBody(const connection_pointer& connection);
  void Write(const connection_pointer& connection);
  void WriteEndlessly(const connection_pointer& connection);
  static void Drain(const connection_pointer& connection);
  static void End(const connection_pointer& connection);

  boost::asio::io_context& context_;
  script_function script_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<connection_pointer> connections_;
  std::size_t requests_ = 0;
  std::uint64_t bytes_written_ = 0;
};

}  // namespace papayakeel

#endif  // TESTS_MODULES_SUPPORT_SCRIPTED_SERVER_H_
