// The connection of a late server.
#include "tests/modules/support/late_peer.h"

#include <boost/asio/write.hpp>

#include "drivers/event_loop.h"
#include "tests/modules/support/packet_filter.h"

namespace papayakeel {

namespace {

constexpr std::chrono::seconds kReadLimit{5};

}  // namespace

late_server::late_server(boost::asio::io_context& context)
    : context_(context),
      acceptor_(context, {boost::asio::ip::address_v4::loopback(), 0}),
      connection_(context) {}

network_address late_server::address() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

void late_server::Accept() {
  connection_ = acceptor_.accept();
  connection_.non_blocking(true);
}

void late_server::ReadAndAnswer(std::size_t bytes, const std::string& answer) {
  std::string buffer(1 << 16, ' ');
  std::size_t received = 0;
  const monotonic_time end = event_loop::Now() + kReadLimit;
  while (received < bytes && event_loop::Now() < end) {
    boost::system::error_code error;
    received += connection_.read_some(boost::asio::buffer(buffer), error);
    context_.restart();
    context_.poll();
  }
  boost::system::error_code ignored;
  boost::asio::write(connection_, boost::asio::buffer(answer), ignored);
}

void late_server::GoDark() {
  DropArrivingPackets(connection_.native_handle());
}

}  // namespace papayakeel
