// Open-loop load: calls start on a schedule (Poisson arrivals), whatever
// becomes of the earlier ones, so that a stall shows in the latencies.
#ifndef MISC_STAND_INS_CALLER_LOAD_GENERATOR_H_
#define MISC_STAND_INS_CALLER_LOAD_GENERATOR_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/monotonic_time.h"
#include "misc/stand_ins/caller/load_result.h"
#include "misc/stand_ins/caller/load_settings.h"
#include "modules/http/http_fetch.h"
#include "modules/server_link/server_link.h"

namespace papayakeel {

class load_generator {
 public:
  load_generator(boost::asio::io_context& context, load_settings settings);

  // Runs the whole load and then calls `done`.
  void Start(std::function<void(const load_result&)> done);

 private:
  void RefreshAddresses();
  void OnAddresses(tl::expected<http_response, fetch_error_code> answer);
  void ScheduleNext();
  void SendCall(monotonic_time scheduled);
  void OnEnd(monotonic_time scheduled, const exchange_result& ended);
  void FinishWhenIdle();

  boost::asio::io_context& context_;
  const load_settings settings_;
  std::function<void(const load_result&)> done_;
  server_link link_;
  boost::asio::steady_timer arrival_timer_;
  boost::asio::steady_timer refresh_timer_;
  std::mt19937_64 generator_;
  monotonic_time next_arrival_;
  monotonic_time end_;
  std::vector<network_address> targets_;
  std::string epoch_;  // Of the first target.
  std::size_t next_target_ = 0;
  std::uint64_t in_flight_ = 0;
  bool has_started_ = false;
  bool has_ended_ = false;
  load_result result_;
};

}  // namespace papayakeel

#endif  // MISC_STAND_INS_CALLER_LOAD_GENERATOR_H_
