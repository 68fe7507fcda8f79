// Forwarding in small pieces on a timer.
#include "tests/modules/support/throttled_link.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/write.hpp>

#include "drivers/event_loop.h"

namespace papayakeel {

namespace {

using boost::asio::ip::tcp;

constexpr time_span kDeliveryInterval = std::chrono::milliseconds(5);
// Read ahead of the delivery, as the send buffer of a connection.
constexpr std::size_t kWindowBytes = 16 << 10;

tcp::endpoint ToEndpoint(const network_address& address) {
  return {boost::asio::ip::make_address(address.host), address.port};
}

}  // namespace

struct throttled_link::connection {
  explicit connection(tcp::socket accepted)
      : client(std::move(accepted)), server(client.get_executor()) {}

  void Close() {
    boost::system::error_code ignored;
    client.close(ignored);
    server.close(ignored);
  }

  tcp::socket client;
  tcp::socket server;
  std::array<char, 4096> from_client{};
  std::array<char, 4096> from_server{};
  std::string waiting;  // Read from the server, not delivered yet.
  bool is_reading = false;
  bool has_server_ended = false;
};

throttled_link::throttled_link(boost::asio::io_context& context,
                               const network_address& listen,
                               network_address server,
                               std::size_t bytes_per_second)
    : bytes_per_second_(bytes_per_second),
      timer_(context),
      delivered_at_(event_loop::Now()) {
  listeners_.push_back(
      {tcp::acceptor(context, ToEndpoint(listen)), std::move(server)});
  Accept(listeners_.back());
  Deliver();
}

throttled_link::~throttled_link() {
  for (const std::shared_ptr<connection>& each : connections_)
    each->Close();
}

network_address throttled_link::AddServer(network_address server) {
  tcp::endpoint local = listeners_.front().acceptor.local_endpoint();
  local.port(0);
  listeners_.push_back(
      {tcp::acceptor(timer_.get_executor(), local), std::move(server)});
  Accept(listeners_.back());
  return AddressOf(listeners_.back());
}

network_address throttled_link::AddressOf(const listener& from) {
  const tcp::endpoint local = from.acceptor.local_endpoint();
  return {local.address().to_string(), local.port()};
}

void throttled_link::Accept(listener& at) {
  at.acceptor.async_accept([this, &at](const boost::system::error_code& error,
                                       tcp::socket accepted) {
    if (error)
      return;
    const std::shared_ptr<connection> forwarded =
        std::make_shared<connection>(std::move(accepted));
    connections_.push_back(forwarded);
    forwarded->server.async_connect(
        ToEndpoint(at.server),
        [this, forwarded](const boost::system::error_code& connect_error) {
          if (connect_error)
            return forwarded->Close();
          Forward(forwarded);
          ReadFromServer(forwarded);
        });
    Accept(at);
  });
}

void throttled_link::Forward(const std::shared_ptr<connection>& forwarded) {
  forwarded->client.async_read_some(
      boost::asio::buffer(forwarded->from_client),
      [this, forwarded](const boost::system::error_code& error,
                        std::size_t size) {
        if (error)
          return forwarded->Close();
        boost::system::error_code ignored;
        boost::asio::write(
            forwarded->server,
            boost::asio::buffer(forwarded->from_client.data(), size), ignored);
        Forward(forwarded);
      });
}

void throttled_link::ReadFromServer(
    const std::shared_ptr<connection>& forwarded) {
  if (forwarded->is_reading || forwarded->has_server_ended ||
      forwarded->waiting.size() >= kWindowBytes) {
    return;
  }
  forwarded->is_reading = true;
  forwarded->server.async_read_some(
      boost::asio::buffer(forwarded->from_server),
      [this, forwarded](const boost::system::error_code& error,
                        std::size_t size) {
        forwarded->is_reading = false;
        forwarded->has_server_ended = error.failed();
        forwarded->waiting.append(forwarded->from_server.data(), size);
        ReadFromServer(forwarded);
      });
}

void throttled_link::Deliver() {
  const monotonic_time now = event_loop::Now();
  const double elapsed_seconds = ToMilliseconds(now - delivered_at_) / 1000;
  std::vector<std::shared_ptr<connection>> busy;
  for (const std::shared_ptr<connection>& each : connections_) {
    if (!each->waiting.empty())
      busy.push_back(each);
    else if (each->has_server_ended)
      each->Close();
  }
  connections_.erase(
      std::remove_if(connections_.begin(), connections_.end(),
                     [](const auto& each) { return !each->client.is_open(); }),
      connections_.end());
  const std::size_t share =
      busy.empty()
          ? 0
          : static_cast<std::size_t>(elapsed_seconds *
                                     static_cast<double>(bytes_per_second_)) /
                busy.size();
  // A share of no whole byte is left to the next delivery.
  if (busy.empty() || share > 0)
    delivered_at_ = now;
  for (const std::shared_ptr<connection>& each : busy) {
    const std::size_t size = std::min(share, each->waiting.size());
    boost::system::error_code error;
    boost::asio::write(each->client,
                       boost::asio::buffer(each->waiting.data(), size), error);
    if (error) {
      each->Close();
      continue;
    }
    each->waiting.erase(0, size);
    ReadFromServer(each);
  }
  timer_.expires_after(kDeliveryInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error)
      Deliver();
  });
}

}  // namespace papayakeel
