// Accepting and forwarding on a thread of its own.
#include "tests/process/support/tcp_relay.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace papayakeel {

namespace {

constexpr std::chrono::milliseconds kDelay{120};

boost::asio::ip::tcp::endpoint ToEndpoint(const network_address& address) {
  return {boost::asio::ip::make_address(address.host), address.port};
}

}  // namespace

tcp_relay::tcp_relay(const network_address& listen,
                     const network_address& target)
    : acceptor_(context_, ToEndpoint(listen)), target_(ToEndpoint(target)) {
  Accept();
  thread_ = std::thread([this] { context_.run(); });
}

tcp_relay::~tcp_relay() {
  context_.stop();
  thread_.join();
}

network_address tcp_relay::local_address() const {
  const boost::asio::ip::tcp::endpoint local = acceptor_.local_endpoint();
  return {local.address().to_string(), local.port()};
}

void tcp_relay::Heal() {
  fault_ = relay_fault::kNone;
  boost::asio::post(context_, [this] {
    for (const link_pointer& pair : links_) {
      if (!pair->has_lost)
        continue;
      boost::system::error_code ignored;
      pair->near.close(ignored);
      pair->far.close(ignored);
    }
  });
}

void tcp_relay::Accept() {
  const link_pointer pair = std::make_shared<link>(context_);
  acceptor_.async_accept(pair->near,
                         [this, pair](const boost::system::error_code& error) {
                           if (error)
                             return;
                           boost::system::error_code connect_error;
                           pair->far.connect(target_, connect_error);
                           if (connect_error) {
                             pair->near.close(connect_error);
                           } else {
                             links_.push_back(pair);
                             Forward(pair, true);
                             Forward(pair, false);
                           }
                           Accept();
                         });
}

void tcp_relay::Forward(const link_pointer& pair, bool from_near) {
  boost::asio::ip::tcp::socket& source = from_near ? pair->near : pair->far;
  char* bytes = from_near ? pair->near_bytes : pair->far_bytes;
  source.async_read_some(
      boost::asio::buffer(bytes, sizeof(pair->near_bytes)),
      [this, pair, from_near](const boost::system::error_code& error,
                              std::size_t count) {
        boost::system::error_code ignored;
        if (error) {
          if (!Loses(from_near))
            (from_near ? pair->far : pair->near).close(ignored);
          return;
        }
        if (fault_ != relay_fault::kDelay)
          return PassOn(pair, from_near, count);
        const std::shared_ptr<boost::asio::steady_timer> timer =
            std::make_shared<boost::asio::steady_timer>(context_, kDelay);
        timer->async_wait([this, pair, from_near, count,
                           timer](const boost::system::error_code& failure) {
          if (!failure)
            PassOn(pair, from_near, count);
        });
      });
}

void tcp_relay::PassOn(const link_pointer& pair,
                       bool from_near,
                       std::size_t count) {
  boost::system::error_code error;
  if (Loses(from_near)) {
    pair->has_lost = true;
  } else {
    boost::asio::write(
        from_near ? pair->far : pair->near,
        boost::asio::buffer(from_near ? pair->near_bytes : pair->far_bytes,
                            count),
        error);
  }
  if (!error)
    Forward(pair, from_near);
}

bool tcp_relay::Loses(bool from_near) const {
  const relay_fault fault = fault_;
  return fault == relay_fault::kCut ||
         (fault == relay_fault::kCutTarget && from_near) ||
         (fault == relay_fault::kCutSource && !from_near);
}

void tcp_relay::Reset() {
  boost::asio::post(context_, [this] {
    for (const link_pointer& pair : links_) {
      boost::system::error_code ignored;
      const boost::asio::socket_base::linger reset(true, 0);
      pair->near.set_option(reset, ignored);
      pair->far.set_option(reset, ignored);
      pair->near.close(ignored);
      pair->far.close(ignored);
    }
    links_.clear();
  });
}

}  // namespace papayakeel
