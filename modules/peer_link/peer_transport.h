// Authenticated websocket connections between entry VMs, with websocketpp as
// server and client on the event loop of the process. A connection is opened
// when there is a message to send, carries messages in both directions and
// stays open for later messages.
#ifndef MODULES_PEER_LINK_PEER_TRANSPORT_H_
#define MODULES_PEER_LINK_PEER_TRANSPORT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "modules/peer_link/session_seal.h"
#include "servers/membership/peer_message.h"

namespace papayakeel {

enum class peer_listen_error {
  kBadAddress,
  kUnavailable,  // The address is in use or not local to this machine.
  kBadFleetKey,
};

// Returns the name of `error` for logs.
const char* ToString(peer_listen_error error);

struct peer_transport_counters {
  // Messages and bytes on authenticated connections. Bytes include the overhead
  // of websocket frames and seals, but not of TCP.
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_authenticated = 0;
  std::uint64_t connections_failed = 0;   // Ended before authentication.
  std::uint64_t connections_refused = 0;  // Over a connection limit.
  std::uint64_t connections_silent = 0;   // Closed for lack of a reply.
  std::uint64_t handshakes_refused = 0;
  std::uint64_t seals_refused = 0;     // Integrity or sequence check failed.
  std::uint64_t messages_refused = 0;  // Undecodable, hello or wrong sender.
  std::uint64_t unknown_refused = 0;   // Subset with unknown version or type.
  std::uint64_t sends_dropped = 0;     // Queue full or connection failed.
};

struct peer_transport_settings {
  network_address listen;
  network_address own_address;  // Advertised to peers.
  session_key fleet_key{};
  std::size_t max_connections = 2048;
  // Limit on inbound connections that are not authenticated yet.
  std::size_t max_unauthenticated_inbound = 64;
  // Limit on messages queued for a connection that is not authenticated yet.
  std::size_t max_pending_messages = 32;
  // Holds two bundles of the maximum size and some smaller messages.
  std::size_t max_queued_bytes = 2'200'000;
  time_span authentication_timeout = std::chrono::seconds(3);
  // A connection is closed if nothing is received for this long after a
  // request.
  time_span reply_timeout = std::chrono::milliseconds(1500);
  // Exceeds the interval between two pings to the same member in a fleet of
  // 240.
  time_span idle_limit = std::chrono::minutes(15);
};

class peer_transport {
 public:
  // `received` is called with each message from an authenticated peer.
  peer_transport(boost::asio::io_context& context,
                 peer_transport_settings settings,
                 std::function<void(const peer_message&)> received);
  ~peer_transport();

  tl::expected<void, peer_listen_error> Listen();

  // Closes all connections and the listener.
  void Stop();

  // Sends a message to the peer, opening a connection if there is none. The
  // message is dropped if the connection cannot be opened or its queue is full.
  void Send(const network_address& to, const peer_message& message);

  // Closes connections whose reply, idle or authentication timeout has expired.
  // Must be called about ten times a second.
  void Tick(monotonic_time now);

  // Closes the connections to `peer` on which nothing was received since a
  // request was sent. Called when a probe of the peer gets no reply.
  void CloseUnresponsive(const network_address& peer);

  // Clears pending reply timeouts and restarts the idle timeouts. Called after
  // this process was paused.
  void ResetTimeouts();

  // Number of authenticated connections.
  std::size_t size() const;

  const peer_transport_counters& counters() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace papayakeel

#endif  // MODULES_PEER_LINK_PEER_TRANSPORT_H_
