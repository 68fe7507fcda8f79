// Acquires, releases and closes pooled connections.
#include "modules/endpoint_link/endpoint_link.h"

#include <algorithm>
#include <utility>

#include "drivers/event_loop.h"
#include "modules/endpoint_link/endpoint_connection.h"

namespace papayakeel {

namespace {

// Interval between checks of idle connections, which limits how long
// connections closed by the endpoint hold file descriptors.
constexpr time_span kIdleCheckInterval = std::chrono::seconds(1);

// Maximum number of idle connections per endpoint.
constexpr std::size_t kMaxIdleConnections = 8;

}  // namespace

endpoint_link::endpoint_link(service_registry& registry,
                             caller_contract contract,
                             std::size_t memory_limit_bytes)
    : registry_(registry),
      contract_(std::move(contract)),
      memory_(std::make_shared<answer_memory>(memory_limit_bytes)) {}

endpoint_link::~endpoint_link() = default;

void endpoint_link::Start() {
  loop_ = registry_.Find<event_loop>(event_loop::kName);
  timer_.emplace(loop_->context());
  CloseUnusable();
}

void endpoint_link::Stop() {
  is_stopped_ = true;
  timer_.reset();
  for (const auto& [id, connection] : running_)
    connection->Abandon();
  running_.clear();
  idle_.clear();
}

void endpoint_link::CloseUnusable() {
  const monotonic_time now = event_loop::Now();
  for (auto each = idle_.begin(); each != idle_.end();) {
    std::vector<connection_pointer>& pool = each->second;
    pool.erase(std::remove_if(pool.begin(), pool.end(),
                              [now](const connection_pointer& connection) {
                                if (connection->IsReusable(now))
                                  return false;
                                connection->Close();
                                return true;
                              }),
               pool.end());
    each = pool.empty() ? idle_.erase(each) : std::next(each);
  }
  timer_->expires_after(kIdleCheckInterval);
  timer_->async_wait([this](const boost::system::error_code& error) {
    if (!error && !is_stopped_)
      CloseUnusable();
  });
}

endpoint_link::connection_pointer endpoint_link::AcquireConnection(
    const endpoint_exchange& exchange) {
  const auto found = idle_.find({exchange.address, exchange.endpoint_id});
  const monotonic_time now = event_loop::Now();
  if (exchange.may_reuse && found != idle_.end()) {
    std::vector<connection_pointer>& pool = found->second;
    for (std::size_t left = pool.size(); left > 0; --left) {
      const auto candidate =
          pool.begin() + static_cast<std::ptrdiff_t>(left) - 1;
      connection_pointer connection = *candidate;
      if (!connection->IsReusable(now)) {
        pool.erase(candidate);
        connection->Close();
        continue;
      }
      // Stays in the pool for other requests.
      if (!connection->MayCarry(exchange.request_id))
        continue;
      pool.erase(candidate);
      ++reused_total_;
      return connection;
    }
  }
  ++opened_total_;
  return std::make_shared<detail::endpoint_connection>(
      loop_->context(), contract_, memory_,
      [this](const endpoint_exchange& ended) {
        if (!is_stopped_)
          on_leaving_(ended);
      });
}

endpoint_link::exchange_id endpoint_link::Begin(endpoint_exchange exchange,
                                                endpoint_callback done) {
  const exchange_id id = next_id_++;
  const pool_key key{exchange.address, exchange.endpoint_id};
  const connection_pointer connection = AcquireConnection(exchange);
  running_[id] = connection;
  connection->Run(std::move(exchange), [this, id, key, done = std::move(done)](
                                           endpoint_result result) {
    const auto found = running_.find(id);
    if (found != running_.end()) {
      connection_pointer ended = std::move(found->second);
      running_.erase(found);
      std::vector<connection_pointer>& pool = idle_[key];
      if (ended->IsReusable(event_loop::Now()) &&
          pool.size() < kMaxIdleConnections) {
        pool.push_back(std::move(ended));
      } else {
        ended->Close();
      }
    }
    done(std::move(result));
  });
  return id;
}

void endpoint_link::Cancel(exchange_id id) {
  const auto found = running_.find(id);
  if (found == running_.end())
    return;
  found->second->Abandon();
  running_.erase(found);
}

bool endpoint_link::HasSent(exchange_id id) const {
  const auto found = running_.find(id);
  return found != running_.end() && found->second->has_sent();
}

nlohmann::json endpoint_link::DumpState() const {
  std::size_t idle = 0;
  for (const auto& [key, pool] : idle_)
    idle += pool.size();
  return {{"running", running_.size()},
          {"idle", idle},
          {"opened", opened_total_},
          {"reused", reused_total_},
          {"answer_bytes", memory_->held()},
          {"answers_withdrawn", memory_->withdrawn_total()}};
}

}  // namespace papayakeel
