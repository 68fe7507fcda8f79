// Connection pools of endpoints, for requests and status checks.
#ifndef MODULES_ENDPOINT_LINK_ENDPOINT_LINK_H_
#define MODULES_ENDPOINT_LINK_ENDPOINT_LINK_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "core/service.h"
#include "core/service_registry.h"
#include "modules/endpoint_link/endpoint_exchange.h"
#include "modules/entry_gateway/caller_contract.h"

namespace papayakeel {

class event_loop;

namespace detail {
class endpoint_connection;
}  // namespace detail

class endpoint_link : public service {
 public:
  static constexpr std::string_view kName = "endpoint_link";
  using exchange_id = std::uint64_t;

  // Answers take a share of `memory_limit_bytes`.
  endpoint_link(service_registry& registry,
                caller_contract contract,
                std::size_t memory_limit_bytes);
  ~endpoint_link() override;

  std::string_view name() const override { return kName; }
  void Start() override;
  void Stop() override;
  nlohmann::json DumpState() const override;

  // Sets what is called when an endpoint announces that it leaves.
  void SetLeavingHook(endpoint_leaving_hook hook) {
    on_leaving_ = std::move(hook);
  }

  // Starts an exchange. `done` is called asynchronously and exactly once,
  // unless `Cancel` is called first.
  exchange_id Begin(endpoint_exchange exchange, endpoint_callback done);

  // Cancels an exchange and closes its connection, which signals the
  // cancellation to the endpoint.
  void Cancel(exchange_id id);

  // Whether the endpoint may have received a part of the request.
  bool HasSent(exchange_id id) const;

  std::uint64_t opened_total() const { return opened_total_; }
  std::uint64_t reused_total() const { return reused_total_; }
  std::size_t running() const { return running_.size(); }
  answer_memory& memory() { return *memory_; }

 private:
  using connection_pointer = std::shared_ptr<detail::endpoint_connection>;
  // Address and id of the endpoint. The id prevents a new endpoint at a known
  // address from using the connections of the previous endpoint.
  using pool_key = std::pair<network_address, std::string>;

  connection_pointer AcquireConnection(const endpoint_exchange& exchange);
  void CloseUnusable();

  service_registry& registry_;
  const caller_contract contract_;
  const std::shared_ptr<answer_memory> memory_;
  event_loop* loop_ = nullptr;
  std::optional<boost::asio::steady_timer> timer_;
  // Idle connections, most recently used last.
  std::map<pool_key, std::vector<connection_pointer>> idle_;
  std::unordered_map<exchange_id, connection_pointer> running_;
  endpoint_leaving_hook on_leaving_ = [](const endpoint_exchange&) {};
  exchange_id next_id_ = 1;
  std::uint64_t opened_total_ = 0;
  std::uint64_t reused_total_ = 0;
  bool is_stopped_ = false;
};

}  // namespace papayakeel

#endif  // MODULES_ENDPOINT_LINK_ENDPOINT_LINK_H_
