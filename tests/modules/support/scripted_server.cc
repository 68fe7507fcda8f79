// Requests are read up to the end of their headers, and of their bodies what
// the script names.
#include "tests/modules/support/scripted_server.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace papayakeel {

namespace {

using boost::asio::ip::tcp;

// Small, so that few of the written bytes wait in the kernel.
constexpr int kSendBufferBytes = 64 * 1024;

}  // namespace

scripted_server::scripted_server(boost::asio::io_context& context,
                                 script_function script)
    : context_(context),
      script_(std::move(script)),
      acceptor_(context,
                tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  Accept();
}

network_address scripted_server::address() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

bool scripted_server::AllAreClosed() const {
  return std::all_of(
      connections_.begin(), connections_.end(),
      [](const connection_pointer& each) { return each->is_closed; });
}

void scripted_server::WriteExtra(std::size_t connection,
                                 const std::string& bytes) {
  boost::asio::write(connections_.at(connection)->socket,
                     boost::asio::buffer(bytes));
}

void scripted_server::Accept() {
  const connection_pointer added =
      std::make_shared<served_connection>(context_);
  acceptor_.async_accept(added->socket,
                         [this, added](const boost::system::error_code& error) {
                           if (error)
                             return;
                           added->socket.set_option(
                               tcp::socket::send_buffer_size(kSendBufferBytes));
                           added->index = connections_.size();
                           connections_.push_back(added);
                           Read(added);
                           Accept();
                         });
}

void scripted_server::Read(const connection_pointer& connection) {
  boost::asio::async_read_until(
      connection->socket, boost::asio::dynamic_buffer(connection->received),
      "\r\n\r\n",
      [this, connection](const boost::system::error_code& error,
                         std::size_t size) {
        if (error) {
          connection->is_closed = true;
          return;
        }
        const std::string header = connection->received.substr(0, size);
        connection->received.erase(0, size);
        ++requests_;
        connection->script =
            script_(connection->index, connection->requests++, header);
        ReadBody(connection);
      });
}

void scripted_server::ReadBody(const connection_pointer& connection) {
  const std::size_t wanted = connection->script.read_first;
  const std::size_t missing =
      wanted - std::min(wanted, connection->received.size());
  boost::asio::async_read(
      connection->socket, boost::asio::dynamic_buffer(connection->received),
      boost::asio::transfer_exactly(missing),
      [this, connection, wanted](const boost::system::error_code& error,
                                 std::size_t) {
        if (error) {
          connection->is_closed = true;
          return;
        }
        connection->received.erase(0, wanted);
        Write(connection);
      });
}

void scripted_server::Write(const connection_pointer& connection) {
  if (connection->script.end == script_end::kResetAtOnce) {
    boost::system::error_code ignored;
    bytes_written_ += boost::asio::write(
        connection->socket, boost::asio::buffer(connection->script.bytes),
        ignored);
    return End(connection);
  }
  boost::asio::async_write(
      connection->socket, boost::asio::buffer(connection->script.bytes),
      [this, connection](const boost::system::error_code& error,
                         std::size_t size) {
        bytes_written_ += size;
        if (error) {
          connection->is_closed = true;
          return;
        }
        if (connection->script.end != script_end::kKeepOpen)
          return End(connection);
        if (connection->script.endless.empty())
          return Read(connection);
        WriteEndlessly(connection);
      });
}

void scripted_server::Drain(const connection_pointer& connection) {
  connection->received.resize(kSendBufferBytes);
  connection->socket.async_read_some(
      boost::asio::buffer(connection->received),
      [connection](const boost::system::error_code& error, std::size_t) {
        if (!error)
          return Drain(connection);
        connection->is_closed = true;
        boost::system::error_code ignored;
        connection->socket.close(ignored);
      });
}

void scripted_server::End(const connection_pointer& connection) {
  boost::system::error_code ignored;
  if (connection->script.end == script_end::kHalfClose) {
    connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
    return Drain(connection);
  }
  connection->is_closed = true;
  const bool is_reset = connection->script.end == script_end::kReset ||
                        connection->script.end == script_end::kResetAtOnce;
  if (is_reset) {
    connection->socket.set_option(boost::asio::socket_base::linger(true, 0),
                                  ignored);
  }
  connection->socket.close(ignored);
}

void scripted_server::WriteEndlessly(const connection_pointer& connection) {
  boost::asio::async_write(
      connection->socket, boost::asio::buffer(connection->script.endless),
      [this, connection](const boost::system::error_code& error,
                         std::size_t size) {
        bytes_written_ += size;
        if (error) {
          connection->is_closed = true;
          return;
        }
        connection->timer.expires_after(connection->script.pause);
        connection->timer.async_wait(
            [this, connection](const boost::system::error_code& failed) {
              if (!failed)
                WriteEndlessly(connection);
            });
      });
}

}  // namespace papayakeel
