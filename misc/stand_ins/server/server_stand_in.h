// A backend server as an entry VM sees one: slots, a queue, load reports that
// lag, drain, cold start, shedding, cancellation, deadlines, and switches for
// faults. It records what it ran, which makes it the judge of what ran how
// often.
#ifndef MISC_STAND_INS_SERVER_SERVER_STAND_IN_H_
#define MISC_STAND_INS_SERVER_SERVER_STAND_IN_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "misc/stand_ins/server/fault_switches.h"
#include "misc/stand_ins/server/stand_in_connection.h"
#include "modules/http/http_types.h"

namespace papayakeel {

struct server_stand_in_settings {
  network_address listen;
  int slots = 2;
  std::size_t connection_limit = 220;
  std::chrono::milliseconds work_time{20};
  // Draws each work time from an exponential distribution instead.
  bool has_exponential_work = false;
  std::uint64_t seed = 1;
  // Work takes three times as long until this time after the start.
  std::chrono::milliseconds cold_time{0};
  // Age of the figures in load reports.
  std::chrono::milliseconds report_lag{200};
};

class server_stand_in {
 public:
  server_stand_in(boost::asio::io_context& context,
                  server_stand_in_settings settings);

  bool Listen();

  // Graceful stop: takes no new connection, marks answers as draining, and
  // calls `on_drained` once nothing is in flight.
  void Drain(std::function<void()> on_drained);

 private:
  struct job {
    std::shared_ptr<stand_in_connection> connection;
    http_request request;
    monotonic_time deadline;
    monotonic_time received;
    std::shared_ptr<boost::asio::steady_timer> timer;  // Set while it runs.
  };
  struct past_load {
    monotonic_time at;
    int running = 0;
    std::size_t waiting = 0;
  };

  void Accept();
  void OnRequest(std::shared_ptr<stand_in_connection> connection,
                 http_request request);
  void OnClosed(stand_in_connection* connection);
  void HandleAdmin(stand_in_connection& connection,
                   const http_request& request,
                   const std::string& path);
  void CancelById(const std::string& id);
  void StartWaiting();
  void Run(job started);
  void EndRun(std::uint64_t number);
  void Reply(stand_in_connection& connection,
             const http_request& request,
             http_response answer);
  std::string LoadReport();
  std::chrono::nanoseconds DrawWorkTime();
  void CheckDrained();

  boost::asio::io_context& context_;
  const server_stand_in_settings settings_;
  boost::asio::ip::tcp::acceptor acceptor_;
  fault_switches faults_;
  std::mt19937_64 generator_;
  monotonic_time started_at_;
  std::unordered_set<std::shared_ptr<stand_in_connection>> connections_;
  std::deque<job> waiting_;
  std::unordered_map<std::uint64_t, job> running_;  // At most `slots`.
  std::uint64_t next_job_ = 1;
  std::deque<past_load> past_loads_;
  std::function<void()> on_drained_;

  // The record. Runs by operation key, or by target without one.
  std::map<std::string, int> runs_;
  std::uint64_t received_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t expired_ = 0;
  std::uint64_t probes_ = 0;
  std::uint64_t received_while_draining_ = 0;
  std::uint64_t connections_total_ = 0;
};

}  // namespace papayakeel

#endif  // MISC_STAND_INS_SERVER_SERVER_STAND_IN_H_
