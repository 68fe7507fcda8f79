// Connection pools, one per endpoint.
#ifndef MODULES_SERVER_LINK_SERVER_LINK_H_
#define MODULES_SERVER_LINK_SERVER_LINK_H_

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/service.h"
#include "modules/server_link/exchange.h"

namespace papayakeel {

namespace detail {
class server_connection;
}  // namespace detail

struct server_link_settings {
  // A device on the path may have dropped the state of an idle connection.
  // Connections beyond these limits are closed instead of reused.
  time_span idle_limit = std::chrono::seconds(30);
  time_span age_limit = std::chrono::minutes(5);
  // A connection counts as live if its last exchange ended within this time.
  time_span liveness_window = std::chrono::seconds(1);
};

class server_link : public service {
 public:
  static constexpr std::string_view kName = "server_link";

  server_link(boost::asio::io_context& context, server_link_settings settings);
  ~server_link() override;

  std::string_view name() const override { return kName; }
  void Stop() override;
  nlohmann::json DumpState() const override;

  // Starts an exchange. `done` is called asynchronously, exactly once, unless
  // the exchange is cancelled first. An exchange that would need more
  // connections than the endpoint's share ends with kNotRun.
  void StartExchange(exchange_request exchange, exchange_callback done);

  // Cancels an exchange and closes its connection, which notifies the server.
  void CancelExchange(exchange_id id);

  std::uint64_t opened_total() const { return opened_total_; }
  std::uint64_t reused_total() const { return reused_total_; }

  // Sets the maximum number of connections to an endpoint: this entry VM's
  // share of the endpoint's connection limit.
  void SetConnectionShare(const network_address& endpoint, int share);

 private:
  using connection_pointer = std::shared_ptr<detail::server_connection>;

  struct endpoint_pool {
    std::vector<connection_pointer> idle;  // Most recently used last.
    int open = 0;                          // Idle and busy; <= share
    int share = 8;
  };

  void SendCancellation(const network_address& endpoint, exchange_id cancelled);
  static void CloseOlderIdle(endpoint_pool& pool, monotonic_time opened_at);
  connection_pointer TakeIdle(endpoint_pool& pool, bool needs_live_connection);
  void OnDone(const connection_pointer& connection,
              exchange_id id,
              exchange_result result,
              const exchange_callback& done);

  boost::asio::io_context& context_;
  const server_link_settings settings_;
  std::unordered_map<network_address, endpoint_pool> pools_;
  std::unordered_map<exchange_id, connection_pointer> running_;
  std::uint64_t opened_total_ = 0;
  std::uint64_t reused_total_ = 0;
};

}  // namespace papayakeel

#endif  // MODULES_SERVER_LINK_SERVER_LINK_H_
