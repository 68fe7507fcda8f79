// Binds the socket, accepts connections and drains them.
#include "modules/http/http_listener.h"

#include <utility>
#include <vector>

#include <boost/asio/ip/address.hpp>

#include "modules/http/http_session.h"

namespace papayakeel {

namespace {

constexpr unsigned kHttp11 = 11;

}  // namespace

http_response MakePlainError(http::status status,
                             std::string_view reason,
                             const http_request* /*header*/) {
  http_response response(status, kHttp11);
  response.body() = std::string(reason) + "\n";
  return response;
}

http_listener::http_listener(boost::asio::io_context& context,
                             http_listener_settings settings,
                             http_listener_hooks hooks)
    : context_(context),
      settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      acceptor_(context) {}

http_listener::~http_listener() {
  Close();
}

tl::expected<void, listen_error_code> http_listener::Start() {
  boost::system::error_code error;
  const boost::asio::ip::address host =
      boost::asio::ip::make_address(settings_.listen.host, error);
  if (error)
    return tl::unexpected(listen_error_code::kBadAddress);
  const boost::asio::ip::tcp::endpoint local(host, settings_.listen.port);
  acceptor_.open(local.protocol(), error);
  if (error)
    return tl::unexpected(listen_error_code::kSystem);
  acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
  acceptor_.bind(local, error);
  if (error == boost::asio::error::address_in_use)
    return tl::unexpected(listen_error_code::kAddressInUse);
  if (error)
    return tl::unexpected(listen_error_code::kSystem);
  acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  if (error)
    return tl::unexpected(listen_error_code::kSystem);
  Accept();
  return {};
}

void http_listener::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error,
                                boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted || is_draining_)
      return;
    const bool is_below_connection_limit =
        sessions_.size() < settings_.connection_limit;
    if (!error && is_below_connection_limit) {
      std::make_shared<detail::http_session>(*this, std::move(socket))->Start();
    }
    Accept();
  });
}

void http_listener::Drain() {
  is_draining_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  const std::vector<detail::http_session*> sessions(sessions_.begin(),
                                                    sessions_.end());
  for (detail::http_session* session : sessions)
    session->Drain();
}

void http_listener::Close() {
  is_draining_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  const std::vector<detail::http_session*> sessions(sessions_.begin(),
                                                    sessions_.end());
  sessions_.clear();
  for (detail::http_session* session : sessions)
    session->Close();
}

network_address http_listener::local_address() const {
  boost::system::error_code error;
  const boost::asio::ip::tcp::endpoint local = acceptor_.local_endpoint(error);
  if (error)
    return settings_.listen;
  return {local.address().to_string(), local.port()};
}

}  // namespace papayakeel
