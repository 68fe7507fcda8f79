// Exchanges over connections.
#include "misc/soak/fake_link.h"

#include <utility>

#include "misc/soak/soak_world.h"

namespace papayakeel::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_span kConnectTime = milliseconds(1);
constexpr time_span kProofOfLife = seconds(1);
// How long the answer to once-only work is awaited past the deadline.
constexpr time_span kLateAnswerWait = seconds(5);

}  // namespace

fake_link::fake_link(soak_world& world,
                     std::size_t entry_vm,
                     std::uint64_t process)
    : world_(world), entry_vm_(entry_vm), process_(process) {}

void fake_link::Start(std::uint64_t exchange,
                      const attempt_order& order,
                      const wire_request& request,
                      link_callback done) {
  exchanges_[exchange] = {nullptr, std::move(done), request};
  if (connection_pointer idle = TakeIdle(order))
    return Send(exchange, idle, order);
  world_.DeliverToProcess(
      entry_vm_, process_, kConnectTime, [this, exchange, order] {
        if (exchanges_.count(exchange) == 0)
          return;
        const std::shared_ptr<fake_server> server =
            world_.FindServer(order.endpoint);
        if (!server || !server->is_listening()) {
          if (server && server->leaving_since())
            world_.verdicts().LearnedLeaving(process_, server->id());
          link_result refused;
          refused.result = attempt_result::kNotRun;
          return End(exchange, refused, true);
        }
        const connection_pointer connection =
            std::make_shared<soak_connection>();
        connection->entry_vm = entry_vm_;
        connection->process = process_;
        connection->server = server;
        server->Accept(connection);
        Send(exchange, connection, order);
      });
}

void fake_link::Send(std::uint64_t exchange,
                     const connection_pointer& connection,
                     const attempt_order& order) {
  exchanges_[exchange].connection = connection;
  connection->exchange = exchange;
  world_.DeliverRequest(connection, exchange, exchanges_[exchange].request);
  const auto expire = [this, exchange](attempt_result result) {
    if (exchanges_.count(exchange) == 0)
      return;
    link_result ended;
    ended.result = result;
    End(exchange, ended, true);
  };
  if (connection->is_reused && order.first_byte_timeout > time_span(0)) {
    world_.DeliverToProcess(
        entry_vm_, process_, order.first_byte_timeout,
        [expire] { expire(attempt_result::kStaleConnection); });
  }
  world_.DeliverToProcess(entry_vm_, process_,
                          order.deadline - world_.now() + kLateAnswerWait,
                          [expire] { expire(attempt_result::kUnknown); });
}

void fake_link::Cancel(std::uint64_t exchange) {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end())
    return;
  const connection_pointer connection = found->second.connection;
  exchanges_.erase(found);
  if (!connection)
    return;
  connection->is_open = false;
  world_.time().After(milliseconds(1), [connection, exchange] {
    connection->server->Cancel(exchange);
  });
}

void fake_link::OnAnswer(const connection_pointer& connection,
                         const wire_answer& answer) {
  if (!connection->is_open)
    return;
  if (connection->exchange == 0) {
    connection->has_surplus = true;
    return;
  }
  const std::uint64_t exchange = connection->exchange;
  link_result ended;
  const bool is_own =
      answer.exchange == exchange || world_.Has(mutation::kAnyAnswerAccepted);
  const bool is_whole =
      answer.is_complete || world_.Has(mutation::kFragmentForwarded);
  if (!is_own || !is_whole)
    return End(exchange, ended, true);
  ended.result =
      answer.is_not_run ? attempt_result::kNotRun : attempt_result::kAnswered;
  ended.body = answer.body;
  ended.is_server_error = answer.is_server_error;
  ended.is_leaving =
      answer.is_leaving && !world_.Has(mutation::kLeavingIgnored);
  if (answer.is_leaving)
    world_.verdicts().LearnedLeaving(process_, connection->server->id());
  connection->last_completed = world_.now();
  const std::uint64_t server = connection->server->id();
  End(exchange, ended, !answer.is_complete);
  if (answer.is_leaving && world_.Has(mutation::kClosedOnDrain))
    CloseAll(server);
}

void fake_link::OnClose(const connection_pointer& connection) {
  if (!connection->is_open)
    return;
  const std::uint64_t exchange = connection->exchange;
  connection->is_open = false;
  if (exchange != 0)
    End(exchange, link_result(), true);
}

void fake_link::CloseAll(std::uint64_t server) {
  std::vector<std::uint64_t> closed;
  for (const auto& [exchange, state] : exchanges_) {
    if (state.connection && state.connection->server->id() == server)
      closed.push_back(exchange);
  }
  for (const std::uint64_t exchange : closed) {
    const connection_pointer connection = exchanges_[exchange].connection;
    if (connection->server->IsInFlight(exchange))
      world_.CheckInterruption(*connection->server, exchange, false);
    End(exchange, link_result(), true);
  }
}

connection_pointer fake_link::TakeIdle(const attempt_order& order) {
  if (order.needs_new_connection)
    return nullptr;
  std::vector<connection_pointer>& idle = idle_[order.endpoint];
  while (!idle.empty()) {
    connection_pointer taken = idle.back();
    idle.pop_back();
    const bool is_usable = taken->is_open && !taken->has_surplus;
    const bool is_live = world_.now() - *taken->last_completed <= kProofOfLife;
    if (!is_usable || (order.needs_live_connection && !is_live)) {
      taken->is_open = false;
      continue;
    }
    taken->is_reused = true;
    return taken;
  }
  return nullptr;
}

void fake_link::End(std::uint64_t exchange,
                    const link_result& result,
                    bool close) {
  const auto found = exchanges_.find(exchange);
  const connection_pointer connection = found->second.connection;
  const link_callback done = std::move(found->second.done);
  exchanges_.erase(found);
  if (connection) {
    connection->exchange = 0;
    if (close)
      connection->is_open = false;
    else
      idle_[connection->server->address()].push_back(connection);
  }
  done(result);
}

}  // namespace papayakeel::soak
