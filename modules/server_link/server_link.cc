// Chooses between idle and new connections for each exchange.
#include "modules/server_link/server_link.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/asio/post.hpp>

#include "drivers/event_loop.h"
#include "modules/server_link/server_connection.h"

namespace papayakeel {

namespace {

// Distinguishes the id of a cancellation request from the id of the exchange
// that it cancels.
constexpr exchange_id kCancellationBit = exchange_id{1} << 63;
constexpr time_span kCancellationTimeout = std::chrono::milliseconds(500);

}  // namespace

server_link::server_link(boost::asio::io_context& context,
                         server_link_settings settings)
    : context_(context), settings_(settings) {}

server_link::~server_link() {
  Stop();
}

void server_link::Stop() {
  for (const auto& [id, connection] : running_)
    connection->Abandon();
  running_.clear();
  for (const auto& [endpoint, pool] : pools_) {
    for (const connection_pointer& connection : pool.idle)
      connection->Close();
  }
  pools_.clear();
}

nlohmann::json server_link::DumpState() const {
  nlohmann::json endpoints = nlohmann::json::object();
  for (const auto& [endpoint, pool] : pools_) {
    endpoints[endpoint.ToString()] = {
        {"open", pool.open}, {"idle", pool.idle.size()}, {"share", pool.share}};
  }
  return {{"running", running_.size()},
          {"opened_total", opened_total_},
          {"reused_total", reused_total_},
          {"endpoints", endpoints}};
}

void server_link::SetConnectionShare(const network_address& endpoint,
                                     int share) {
  pools_[endpoint].share = share;
}

void server_link::StartExchange(exchange_request exchange,
                                exchange_callback done) {
  endpoint_pool& pool = pools_[exchange.endpoint];
  connection_pointer connection;
  if (!exchange.needs_new_connection)
    connection = TakeIdle(pool, exchange.needs_live_connection);
  if (connection) {
    ++reused_total_;
  } else {
    if (pool.open >= pool.share && !pool.idle.empty()) {
      pool.idle.front()->Close();
      pool.idle.erase(pool.idle.begin());
      --pool.open;
    }
    if (pool.open >= pool.share) {
      boost::asio::post(context_, [done = std::move(done)] {
        exchange_result refused;
        refused.result = attempt_result::kNotRun;
        done(std::move(refused));
      });
      return;
    }
    ++pool.open;
    ++opened_total_;
    connection = std::make_shared<detail::server_connection>(context_,
                                                             exchange.endpoint);
  }
  const exchange_id id = exchange.id;
  running_[id] = connection;
  connection->Run(
      std::move(exchange), [this, connection, id, done = std::move(done)](
                               exchange_result result) mutable {
        // Posted to the event loop because an exchange can fail inside `Run`,
        // before the code that started it has updated its own state.
        boost::asio::post(context_, [this, connection, id, done,
                                     ended = std::move(result)]() mutable {
          OnDone(connection, id, std::move(ended), done);
        });
      });
}

void server_link::CancelExchange(exchange_id id) {
  const auto found = running_.find(id);
  if (found == running_.end())
    return;
  const network_address endpoint = found->second->endpoint();
  found->second->Abandon();
  endpoint_pool& pool = pools_[endpoint];
  --pool.open;
  running_.erase(found);
  // Closing the connection normally notifies the server. The explicit request
  // is for servers behind an intermediary that keeps connections open.
  if (!pool.idle.empty())
    SendCancellation(endpoint, id);
}

void server_link::SendCancellation(const network_address& endpoint,
                                   exchange_id cancelled) {
  http_request request(http::verb::post, "/.well-known/cancel", 11,
                       std::to_string(cancelled));
  request.set(http::field::host, endpoint.ToString());
  request.prepare_payload();
  exchange_request exchange;
  exchange.id = kCancellationBit | cancelled;
  exchange.endpoint = endpoint;
  exchange.request = std::make_shared<const http_request>(std::move(request));
  exchange.deadline = event_loop::Now() + kCancellationTimeout;
  StartExchange(std::move(exchange), [](const exchange_result&) {});
}

server_link::connection_pointer server_link::TakeIdle(
    endpoint_pool& pool,
    bool needs_live_connection) {
  const monotonic_time now = event_loop::Now();
  while (!pool.idle.empty()) {
    connection_pointer candidate = pool.idle.back();
    const bool is_recent =
        now - candidate->last_used_at() <= settings_.liveness_window;
    // The last connection is the most recently used. If it is not recent
    // enough, no other idle connection is.
    if (needs_live_connection && !is_recent)
      return nullptr;
    pool.idle.pop_back();
    const bool is_within_limits =
        now - candidate->last_used_at() <= settings_.idle_limit &&
        now - candidate->opened_at() <= settings_.age_limit;
    if (is_within_limits && candidate->IsReusable())
      return candidate;
    candidate->Close();
    --pool.open;
  }
  return nullptr;
}

void server_link::CloseOlderIdle(endpoint_pool& pool,
                                 monotonic_time opened_at) {
  // A device that dropped the state of one connection has most likely dropped
  // the state of all connections that were open at that time.
  const auto first =
      std::stable_partition(pool.idle.begin(), pool.idle.end(),
                            [opened_at](const connection_pointer& each) {
                              return each->opened_at() > opened_at;
                            });
  for (auto each = first; each != pool.idle.end(); ++each) {
    (*each)->Close();
    --pool.open;
  }
  pool.idle.erase(first, pool.idle.end());
}

void server_link::OnDone(const connection_pointer& connection,
                         exchange_id id,
                         exchange_result result,
                         const exchange_callback& done) {
  // The exchange was cancelled after it ended and before this call.
  if (running_.erase(id) == 0)
    return;
  endpoint_pool& pool = pools_[connection->endpoint()];
  if (result.result == attempt_result::kStaleConnection)
    CloseOlderIdle(pool, connection->opened_at());
  if (connection->IsReusable()) {
    pool.idle.push_back(connection);
  } else {
    connection->Close();
    --pool.open;
  }
  done(std::move(result));
}

}  // namespace papayakeel
