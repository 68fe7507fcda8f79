// Opens, authenticates, monitors and closes the connections to peers.
#include "modules/peer_link/peer_transport.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <sodium.h>

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include "drivers/event_loop.h"
#include "drivers/logging.h"
#include "drivers/socket_options.h"
#include "modules/peer_link/peer_handshake.h"
#include "servers/membership/peer_message_codec.h"

namespace papayakeel {

namespace {

// Limit before authentication, when only a hello of about 150 bytes is valid.
constexpr std::size_t kMaxHelloBytes = 1024;
// If both peers open a connection to each other within this time, the one
// opened by the peer with the smaller address is kept. Otherwise the newer
// connection is kept.
constexpr std::chrono::seconds kSimultaneousOpenWindow{3};

// NOLINTBEGIN(readability-identifier-naming): names required by websocketpp.
// Configures websocketpp for one thread, no logging and small buffers. There is
// one connection per member, and each carries a few hundred bytes every few
// seconds.
struct socket_config : public websocketpp::config::asio_client {
  using type = socket_config;
  using base = websocketpp::config::asio_client;
  using concurrency_type = websocketpp::concurrency::none;
  using alog_type = websocketpp::log::stub;
  using elog_type = websocketpp::log::stub;
  using rng_type =
      websocketpp::random::random_device::int_generator<std::uint32_t,
                                                        concurrency_type>;
  struct transport_config : public base::transport_config {
    using concurrency_type = type::concurrency_type;
    using alog_type = type::alog_type;
    using elog_type = type::elog_type;
    static const bool enable_multithreading = false;
    static const long timeout_connect = 2000;
    static const long timeout_socket_shutdown = 1000;
  };
  using transport_type =
      websocketpp::transport::asio::endpoint<transport_config>;
  static const long timeout_open_handshake = 3000;
  static const long timeout_close_handshake = 1000;
  static const std::size_t connection_read_buffer_size = 4096;
  static const std::size_t max_message_size = kMaxHelloBytes;
  static const std::size_t max_http_body_size = kMaxHelloBytes;
};
// NOLINTEND(readability-identifier-naming)

using server_endpoint = websocketpp::server<socket_config>;
using client_endpoint = websocketpp::client<socket_config>;
using socket_handle = websocketpp::connection_hdl;
using socket_pointer = server_endpoint::connection_ptr;
using message_pointer = server_endpoint::message_ptr;

struct link {
  socket_pointer socket;
  bool is_outbound = false;
  network_address dialed_address;  // Set on outbound connections only.
  network_address peer;            // Set once authenticated.
  std::optional<peer_handshake> handshake;
  std::optional<session_seal> seal;  // Set once authenticated.
  // Messages queued until authentication completes. Bounded by
  // `max_pending_messages`.
  std::vector<peer_message> pending;
  monotonic_time opened_at;
  monotonic_time last_received;
  // Time of the first request since the last received message, if any.
  std::optional<monotonic_time> unanswered_since;
};

using link_map = std::map<socket_handle, link, std::owner_less<socket_handle>>;

bool ExpectsReply(peer_message_type type) {
  return type == peer_message_type::kPing ||
         type == peer_message_type::kTableRequest ||
         type == peer_message_type::kBundleRequest;
}

std::size_t FrameBytes(std::size_t payload, bool is_masked) {
  const std::size_t length_bytes = payload < 126 ? 0 : payload < 65536 ? 2 : 8;
  return 2 + length_bytes + (is_masked ? 4 : 0) + payload;
}

std::string MakeChallenge() {
  std::string challenge(kChallengeBytes, '\0');
  randombytes_buf(challenge.data(), challenge.size());
  return challenge;
}

}  // namespace

const char* ToString(peer_listen_error error) {
  switch (error) {
    case peer_listen_error::kBadAddress:
      return "bad_address";
    case peer_listen_error::kUnavailable:
      return "unavailable";
    case peer_listen_error::kBadFleetKey:
      return "bad_fleet_key";
  }
  return "unknown";
}

class peer_transport::implementation {
 public:
  implementation(boost::asio::io_context& context,
                 peer_transport_settings settings,
                 std::function<void(const peer_message&)> received)
      : settings_(std::move(settings)), received_(std::move(received)) {
    server_.init_asio(&context);
    server_.set_reuse_addr(true);
    server_.set_tcp_pre_init_handler(
        [this](const socket_handle& handle) { OnAccepted(handle); });
    client_.init_asio(&context);
    SetHandlers(server_);
    SetHandlers(client_);
  }

  tl::expected<void, peer_listen_error> Listen() {
    boost::system::error_code address_error;
    const boost::asio::ip::address address =
        boost::asio::ip::make_address(settings_.listen.host, address_error);
    if (address_error)
      return tl::unexpected(peer_listen_error::kBadAddress);
    websocketpp::lib::error_code error;
    server_.listen({address, settings_.listen.port}, error);
    if (!error)
      server_.start_accept(error);
    if (error)
      return tl::unexpected(peer_listen_error::kUnavailable);
    return {};
  }

  void Stop() {
    is_stopped_ = true;
    websocketpp::lib::error_code ignored;
    if (server_.is_listening())
      server_.stop_listening(ignored);
    while (!links_.empty())
      Close(links_.begin(), "stopping");
  }

  void Send(const network_address& to, const peer_message& message) {
    if (is_stopped_ || to == settings_.own_address)
      return;
    link* ready = FindAuthenticated(to);
    if (ready != nullptr)
      return SendSealed(*ready, message);
    for (auto& [handle, each] : links_) {
      if (!each.seal && each.is_outbound && each.dialed_address == to)
        return Enqueue(each, message);
    }
    Dial(to, message);
  }

  void Tick(monotonic_time now) {
    for (auto each = links_.begin(); each != links_.end();) {
      const auto current = each++;
      const link& checked = current->second;
      if (!checked.seal) {
        if (now - checked.opened_at >= settings_.authentication_timeout) {
          ++counters_.connections_failed;
          Close(current, "not authenticated in time");
        }
        continue;
      }
      if (checked.unanswered_since &&
          now - *checked.unanswered_since >= settings_.reply_timeout) {
        ++counters_.connections_silent;
        Close(current, "no answer");
      } else if (now - checked.last_received >= settings_.idle_limit) {
        Close(current, "idle");
      }
    }
  }

  void CloseUnresponsive(const network_address& peer) {
    for (auto each = links_.begin(); each != links_.end();) {
      const auto current = each++;
      const bool is_unresponsive = current->second.seal &&
                                   current->second.peer == peer &&
                                   current->second.unanswered_since.has_value();
      if (!is_unresponsive)
        continue;
      ++counters_.connections_silent;
      Close(current, "no answer");
    }
  }

  void ResetTimeouts() {
    for (auto& [handle, each] : links_) {
      each.unanswered_since.reset();
      each.last_received = event_loop::Now();
    }
  }

  std::size_t size() const {
    return static_cast<std::size_t>(std::count_if(
        links_.begin(), links_.end(),
        [](const auto& each) { return each.second.seal.has_value(); }));
  }

  const peer_transport_counters& counters() const { return counters_; }

 private:
  template <typename endpoint_type>
  void SetHandlers(endpoint_type& endpoint) {
    endpoint.set_open_handler(
        [this](const socket_handle& handle) { OnOpen(handle); });
    endpoint.set_message_handler(
        [this](const socket_handle& handle, const message_pointer& message) {
          OnFrame(handle, message->get_payload());
        });
    endpoint.set_fail_handler(
        [this](const socket_handle& handle) { OnClosed(handle); });
    endpoint.set_close_handler(
        [this](const socket_handle& handle) { OnClosed(handle); });
  }

  void OnAccepted(const socket_handle& handle) {
    websocketpp::lib::error_code error;
    const socket_pointer socket = server_.get_con_from_hdl(handle, error);
    if (error)
      return;
    const std::size_t unauthenticated_inbound = static_cast<std::size_t>(
        std::count_if(links_.begin(), links_.end(), [](const auto& each) {
          return !each.second.seal && !each.second.is_outbound;
        }));
    if (is_stopped_ ||
        unauthenticated_inbound >= settings_.max_unauthenticated_inbound ||
        links_.size() >= settings_.max_connections) {
      ++counters_.connections_refused;
      boost::system::error_code ignored;
      socket->get_raw_socket().close(ignored);
      return;
    }
    link& added = links_[handle];
    added.socket = socket;
    added.opened_at = event_loop::Now();
    added.last_received = added.opened_at;
    added.handshake.emplace(peer_handshake::role::kServer, settings_.fleet_key,
                            settings_.own_address, MakeChallenge());
  }

  void Dial(const network_address& to, const peer_message& message) {
    if (links_.size() >= settings_.max_connections) {
      ++counters_.sends_dropped;
      return;
    }
    websocketpp::lib::error_code error;
    const socket_pointer socket =
        client_.get_connection("ws://" + to.ToString() + "/", error);
    if (error) {
      ++counters_.sends_dropped;
      return;
    }
    ++counters_.connections_opened;
    link& added = links_[socket->get_handle()];
    added.socket = socket;
    added.is_outbound = true;
    added.dialed_address = to;
    added.opened_at = event_loop::Now();
    added.last_received = added.opened_at;
    added.handshake.emplace(peer_handshake::role::kClient, settings_.fleet_key,
                            settings_.own_address, MakeChallenge());
    added.pending.push_back(message);
    client_.connect(socket);
  }

  void OnOpen(const socket_handle& handle) {
    const auto found = links_.find(handle);
    if (found == links_.end()) {
      // The connection was abandoned before the open completed.
      websocketpp::lib::error_code ignored;
      client_.close(handle, websocketpp::close::status::going_away, "late",
                    ignored);
      return;
    }
    link& opened = found->second;
    SetLowLatencyOptions(opened.socket->get_raw_socket().native_handle());
    if (opened.is_outbound)
      SendHello(opened, opened.handshake->MakeInitialHello());
  }

  void OnClosed(const socket_handle& handle) {
    const auto found = links_.find(handle);
    if (found == links_.end())
      return;
    if (!found->second.seal)
      ++counters_.connections_failed;
    counters_.sends_dropped += found->second.pending.size();
    links_.erase(found);
  }

  void OnFrame(const socket_handle& handle, const std::string& frame) {
    const auto found = links_.find(handle);
    if (found == links_.end())
      return;
    link& from = found->second;
    if (!from.seal)
      return OnHello(found, frame);
    const tl::expected<std::string_view, seal_error> payload =
        from.seal->Open(frame);
    if (!payload) {
      ++counters_.seals_refused;
      Log(log_level::kWarning, "peer_message_refused",
          {{"peer", from.peer.ToString()},
           {"reason", ToString(payload.error())}});
      return Close(found, "message refused");
    }
    from.last_received = event_loop::Now();
    from.unanswered_since.reset();
    ++counters_.messages_received;
    counters_.bytes_received += FrameBytes(frame.size(), !from.is_outbound);
    const tl::expected<peer_message, peer_message_error> message =
        DecodePeerMessage(*payload);
    // Keeps the connection open because a peer with a newer version may send
    // message types that this version does not know.
    if (!message || message->type == peer_message_type::kHello ||
        message->sender.peer_address != from.peer) {
      ++counters_.messages_refused;
      const bool is_unknown =
          !message && (message.error() == peer_message_error::kUnknownType ||
                       message.error() == peer_message_error::kUnknownVersion);
      counters_.unknown_refused += is_unknown ? 1 : 0;
      Log(log_level::kWarning, "peer_message_refused",
          {{"peer", from.peer.ToString()},
           {"reason", message ? "false_sender" : ToString(message.error())}});
      return;
    }
    received_(*message);
  }

  void OnHello(link_map::iterator position, const std::string& frame) {
    link& from = position->second;
    const tl::expected<peer_message, peer_message_error> hello =
        DecodePeerMessage(frame);
    if (!hello)
      return RejectHandshake(position, ToString(hello.error()));
    const tl::expected<std::optional<peer_message>, handshake_error> response =
        from.handshake->Handle(*hello);
    if (!response)
      return RejectHandshake(position, ToString(response.error()));
    if (*response)
      SendHello(from, **response);
    if (!from.handshake->is_complete())
      return;
    from.peer = from.handshake->peer_address();
    from.seal.emplace(from.handshake->MakeSeal());
    from.handshake.reset();
    from.last_received = event_loop::Now();
    from.socket->set_max_message_size(kMaxBundleMessageBytes +
                                      session_seal::kOverheadBytes);
    ++counters_.connections_authenticated;
    const std::vector<peer_message> pending = std::move(from.pending);
    from.pending.clear();
    for (const peer_message& each : pending)
      SendSealed(from, each);
    CloseDuplicates(position);
  }

  void RejectHandshake(link_map::iterator position, const char* reason) {
    ++counters_.handshakes_refused;
    Log(log_level::kWarning, "peer_handshake_refused",
        {{"dialed", position->second.is_outbound
                        ? position->second.dialed_address.ToString()
                        : ""},
         {"reason", reason}});
    Close(position, "handshake refused");
  }

  // Closes all but one of the connections to the peer of `newest`, the
  // connection that has just been authenticated.
  void CloseDuplicates(link_map::iterator newest) {
    for (auto each = links_.begin(); each != links_.end();) {
      const auto other = each++;
      if (other == newest || !other->second.seal ||
          other->second.peer != newest->second.peer) {
        continue;
      }
      const bool is_simultaneous =
          other->second.is_outbound != newest->second.is_outbound &&
          newest->second.last_received - other->second.opened_at <
              kSimultaneousOpenWindow;
      // The handshake has just shown that the newer connection works. The older
      // one may be dead.
      if (!is_simultaneous) {
        Close(other, "replaced");
        continue;
      }
      const bool is_outbound_kept = settings_.own_address < newest->second.peer;
      if (newest->second.is_outbound == is_outbound_kept) {
        Close(other, "duplicate");
        continue;
      }
      return Close(newest, "duplicate");
    }
  }

  link* FindAuthenticated(const network_address& to) {
    link* best = nullptr;
    for (auto& [handle, each] : links_) {
      const bool is_match =
          each.seal &&
          (each.peer == to || (each.is_outbound && each.dialed_address == to));
      if (is_match &&
          (best == nullptr || best->last_received < each.last_received)) {
        best = &each;
      }
    }
    return best;
  }

  void Enqueue(link& opening, const peer_message& message) {
    if (opening.pending.size() >= settings_.max_pending_messages) {
      ++counters_.sends_dropped;
      return;
    }
    opening.pending.push_back(message);
  }

  void SendHello(link& to, const peer_message& hello) {
    const tl::expected<std::string, peer_message_error> bytes =
        EncodePeerMessage(hello);
    websocketpp::lib::error_code error = to.socket->send(
        bytes.value_or(std::string()), websocketpp::frame::opcode::binary);
    if (error)
      ++counters_.sends_dropped;
  }

  void SendSealed(link& to, const peer_message& message) {
    const tl::expected<std::string, peer_message_error> bytes =
        EncodePeerMessage(message);
    if (!bytes || to.socket->get_buffered_amount() + bytes->size() >
                      settings_.max_queued_bytes) {
      ++counters_.sends_dropped;
      return;
    }
    const std::string frame = to.seal->Seal(*bytes);
    const websocketpp::lib::error_code error =
        to.socket->send(frame, websocketpp::frame::opcode::binary);
    if (error) {
      ++counters_.sends_dropped;
      return;
    }
    ++counters_.messages_sent;
    counters_.bytes_sent += FrameBytes(frame.size(), to.is_outbound);
    if (ExpectsReply(message.type) && !to.unanswered_since)
      to.unanswered_since = event_loop::Now();
  }

  // Removes the link immediately. websocketpp completes the closing handshake
  // or times it out.
  void Close(link_map::iterator position, const char* reason) {
    const socket_pointer socket = position->second.socket;
    counters_.sends_dropped += position->second.pending.size();
    links_.erase(position);
    websocketpp::lib::error_code error;
    socket->close(websocketpp::close::status::going_away, reason, error);
    if (!error)
      return;
    // The websocket is not open yet and has no closing handshake.
    boost::system::error_code ignored;
    socket->get_raw_socket().close(ignored);
  }

  const peer_transport_settings settings_;
  const std::function<void(const peer_message&)> received_;
  server_endpoint server_;
  client_endpoint client_;
  link_map links_;
  peer_transport_counters counters_;
  bool is_stopped_ = false;
};

peer_transport::peer_transport(
    boost::asio::io_context& context,
    peer_transport_settings settings,
    std::function<void(const peer_message&)> received)
    : implementation_(std::make_unique<implementation>(context,
                                                       std::move(settings),
                                                       std::move(received))) {}

peer_transport::~peer_transport() = default;

tl::expected<void, peer_listen_error> peer_transport::Listen() {
  return implementation_->Listen();
}

void peer_transport::Stop() {
  implementation_->Stop();
}

void peer_transport::Send(const network_address& to,
                          const peer_message& message) {
  implementation_->Send(to, message);
}

void peer_transport::Tick(monotonic_time now) {
  implementation_->Tick(now);
}

void peer_transport::CloseUnresponsive(const network_address& peer) {
  implementation_->CloseUnresponsive(peer);
}

void peer_transport::ResetTimeouts() {
  implementation_->ResetTimeouts();
}

std::size_t peer_transport::size() const {
  return implementation_->size();
}

const peer_transport_counters& peer_transport::counters() const {
  return implementation_->counters();
}

}  // namespace papayakeel
