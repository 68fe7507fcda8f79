// Slots, queue, faults and record of the server stand-in.
#include "misc/stand_ins/server/server_stand_in.h"

#include <algorithm>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include "drivers/event_loop.h"

namespace papayakeel {

namespace {

constexpr std::string_view kAdminPrefix = "/admin/";
constexpr std::chrono::milliseconds kDefaultDeadline{60000};
constexpr std::chrono::milliseconds kProbeTime{6};
constexpr double kColdFactor = 3;

}  // namespace

server_stand_in::server_stand_in(boost::asio::io_context& context,
                                 server_stand_in_settings settings)
    : context_(context),
      settings_(std::move(settings)),
      acceptor_(context),
      generator_(settings_.seed),
      started_at_(event_loop::Now()) {}

bool server_stand_in::Listen() {
  boost::system::error_code error;
  const boost::asio::ip::tcp::endpoint local(
      boost::asio::ip::make_address(settings_.listen.host, error),
      settings_.listen.port);
  acceptor_.open(local.protocol(), error);
  acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
  acceptor_.bind(local, error);
  if (error)
    return false;
  acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  if (error)
    return false;
  Accept();
  return true;
}

void server_stand_in::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error,
                                boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted)
      return;
    if (!error && connections_.size() < settings_.connection_limit) {
      ++connections_total_;
      stand_in_connection::hooks hooks;
      hooks.on_request = [this](std::shared_ptr<stand_in_connection> from,
                                http_request request) {
        OnRequest(std::move(from), std::move(request));
      };
      hooks.on_closed = [this](stand_in_connection* closed) {
        OnClosed(closed);
      };
      const std::shared_ptr<stand_in_connection> connection =
          std::make_shared<stand_in_connection>(std::move(socket),
                                                std::move(hooks));
      connections_.insert(connection);
      connection->Start();
    }
    Accept();
  });
}

void server_stand_in::Drain(std::function<void()> on_drained) {
  faults_.is_draining = true;
  on_drained_ = std::move(on_drained);
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  CheckDrained();
}

void server_stand_in::CheckDrained() {
  if (!on_drained_ || !running_.empty() || !waiting_.empty())
    return;
  // Leaves the kernel time to send the last answer.
  const std::shared_ptr<boost::asio::steady_timer> timer =
      std::make_shared<boost::asio::steady_timer>(context_);
  timer->expires_after(std::chrono::milliseconds(100));
  timer->async_wait([this, timer](const boost::system::error_code&) {
    if (running_.empty() && waiting_.empty() && on_drained_)
      on_drained_();
  });
}

void server_stand_in::OnRequest(std::shared_ptr<stand_in_connection> connection,
                                http_request request) {
  const std::string path(ToStringView(request.target()));
  if (path.rfind(kAdminPrefix, 0) == 0) {
    return HandleAdmin(*connection, request, path.substr(kAdminPrefix.size()));
  }
  if (path == "/.well-known/cancel") {
    CancelById(request.body());
    return Reply(*connection, request, http_response(http::status::ok, 11));
  }
  if (path == "/.well-known/load") {
    ++probes_;
    const std::shared_ptr<boost::asio::steady_timer> timer =
        std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(kProbeTime);
    timer->async_wait(
        [this, timer, connection, request](const boost::system::error_code&) {
          Reply(*connection, request,
                http_response(faults_.fails_fast && !faults_.reports_idle
                                  ? http::status::internal_server_error
                                  : http::status::ok,
                              11));
        });
    return;
  }
  ++received_;
  if (faults_.is_draining)
    ++received_while_draining_;
  if (faults_.fails_fast) {
    return Reply(*connection, request,
                 http_response(http::status::internal_server_error, 11));
  }
  if (faults_.sheds) {
    return Reply(*connection, request,
                 http_response(http::status::service_unavailable, 11));
  }
  std::chrono::milliseconds left = kDefaultDeadline;
  const auto deadline = request.find("Papayakeel-Deadline-Ms");
  if (deadline != request.end()) {
    left = std::chrono::milliseconds(std::strtol(
        std::string(ToStringView(deadline->value())).c_str(), nullptr, 10));
  }
  waiting_.push_back({std::move(connection), std::move(request),
                      event_loop::Now() + left, event_loop::Now(), nullptr});
  StartWaiting();
}

void server_stand_in::OnClosed(stand_in_connection* connection) {
  const auto is_from = [connection](const job& each) {
    return each.connection.get() == connection;
  };
  const auto first = std::remove_if(waiting_.begin(), waiting_.end(), is_from);
  cancelled_ += static_cast<std::uint64_t>(waiting_.end() - first);
  waiting_.erase(first, waiting_.end());
  for (auto each = running_.begin(); each != running_.end();) {
    if (!is_from(each->second)) {
      ++each;
      continue;
    }
    // A closed connection cancels its call, which frees the slot.
    ++cancelled_;
    each->second.timer->cancel();
    each = running_.erase(each);
  }
  for (auto each = connections_.begin(); each != connections_.end(); ++each) {
    if (each->get() == connection) {
      connections_.erase(each);
      break;
    }
  }
  StartWaiting();
  CheckDrained();
}

void server_stand_in::CancelById(const std::string& id) {
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(), [&id](const job& each) {
        return ToStringView(each.request["Papayakeel-Request-Id"]) == id;
      });
  if (found == waiting_.end())
    return;
  ++cancelled_;
  waiting_.erase(found);
}

void server_stand_in::StartWaiting() {
  while (static_cast<int>(running_.size()) < settings_.slots &&
         !waiting_.empty()) {
    job next = std::move(waiting_.front());
    waiting_.pop_front();
    if (next.deadline <= event_loop::Now()) {
      ++expired_;
      Reply(*next.connection, next.request,
            http_response(http::status::service_unavailable, 11));
      continue;
    }
    Run(std::move(next));
  }
}

void server_stand_in::Run(job started) {
  const std::string key(ToStringView(started.request["Idempotency-Key"]));
  const std::string target(ToStringView(started.request.target()));
  ++runs_[key.empty() ? target : key];
  const std::uint64_t number = next_job_++;
  started.timer = std::make_shared<boost::asio::steady_timer>(context_);
  started.timer->expires_after(DrawWorkTime());
  started.timer->async_wait(
      [this, number](const boost::system::error_code& error) {
        if (!error)
          EndRun(number);
      });
  running_[number] = std::move(started);
}

void server_stand_in::EndRun(std::uint64_t number) {
  const auto found = running_.find(number);
  // Its connection has closed since the timer expired.
  if (found == running_.end())
    return;
  const job ended = std::move(found->second);
  running_.erase(found);
  http_response answer(http::status::ok, 11);
  answer.set("endpoint-load-metrics", LoadReport());
  // Lets a load tool tell the server's time from the time that the system adds.
  answer.set("Server-Timing",
             "total;dur=" + std::to_string(ToMilliseconds(event_loop::Now() -
                                                          ended.received)));
  answer.body() =
      "served " + std::string(ToStringView(ended.request.target())) + "\n";
  if (faults_.late.count() == 0) {
    Reply(*ended.connection, ended.request, std::move(answer));
  } else {
    const std::shared_ptr<boost::asio::steady_timer> timer =
        std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(faults_.late);
    timer->async_wait(
        [this, timer, ended, answer](const boost::system::error_code&) {
          Reply(*ended.connection, ended.request, answer);
        });
  }
  StartWaiting();
  CheckDrained();
}

void server_stand_in::Reply(stand_in_connection& connection,
                            const http_request& request,
                            http_response answer) {
  answer.set("Papayakeel-Request-Id", request["Papayakeel-Request-Id"]);
  answer.keep_alive(request.keep_alive() && !faults_.is_draining);
  if (faults_.is_draining)
    answer.set("Papayakeel-Draining", "1");
  connection.Answer(std::move(answer), faults_.answer);
}

std::string server_stand_in::LoadReport() {
  const monotonic_time now = event_loop::Now();
  past_loads_.push_back(
      {now, static_cast<int>(running_.size()), waiting_.size()});
  while (past_loads_.size() > 1 &&
         past_loads_[1].at <= now - settings_.report_lag) {
    past_loads_.pop_front();
  }
  const past_load& reported = past_loads_.front();
  const double busy =
      faults_.reports_idle
          ? 0
          : static_cast<double>(reported.running) / settings_.slots;
  const std::size_t queue = faults_.reports_idle ? 0 : reported.waiting;
  return "TEXT application_utilization=" + std::to_string(busy) +
         ", named_metrics.queue=" + std::to_string(queue);
}

std::chrono::nanoseconds server_stand_in::DrawWorkTime() {
  double milliseconds = static_cast<double>(settings_.work_time.count());
  if (settings_.has_exponential_work) {
    milliseconds =
        std::exponential_distribution<double>(1 / milliseconds)(generator_);
  }
  const bool is_cold = event_loop::Now() - started_at_ < settings_.cold_time;
  milliseconds *= faults_.slowdown * (is_cold ? kColdFactor : 1);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      FromMilliseconds(milliseconds));
}

void server_stand_in::HandleAdmin(stand_in_connection& connection,
                                  const http_request& request,
                                  const std::string& path) {
  http_response reply(http::status::ok, 11);
  if (path == "record") {
    reply.body() =
        nlohmann::json({{"runs", runs_},
                        {"received", received_},
                        {"cancelled", cancelled_},
                        {"expired", expired_},
                        {"probes", probes_},
                        {"received_while_draining", received_while_draining_},
                        {"connections_total", connections_total_},
                        {"connections", connections_.size()}})
            .dump() +
        "\n";
  } else if (path == "faults") {
    const bool is_applied =
        faults_.Apply(nlohmann::json::parse(request.body(), nullptr, false));
    if (!is_applied)
      reply.result(http::status::bad_request);
  } else if (path == "silence") {
    for (const std::shared_ptr<stand_in_connection>& each : connections_) {
      if (each.get() != &connection)
        each->FallSilent();
    }
  } else {
    reply.result(http::status::not_found);
  }
  // Never spoiled: the operator's side must stay reliable.
  reply.keep_alive(false);
  connection.Answer(std::move(reply), answer_fault::kNone);
}

}  // namespace papayakeel
