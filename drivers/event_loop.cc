// Event loop, and handling of termination and reload signals.
#include "drivers/event_loop.h"

#include <csignal>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>

namespace papayakeel {

event_loop::event_loop()
    : context_(1), signals_(context_), reload_signals_(context_) {}

monotonic_time event_loop::Now() {
  return std::chrono::steady_clock::now();
}

void event_loop::HandleSignals(std::function<void()> on_terminate) {
  on_terminate_ = std::move(on_terminate);
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  WaitForSignal();
}

void event_loop::WaitForSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int) {
    if (error)
      return;
    if (!on_terminate_) {
      Quit();
      return;
    }
    const std::function<void()> terminate = std::move(on_terminate_);
    on_terminate_ = nullptr;
    terminate();
    WaitForSignal();
  });
}

void event_loop::HandleReload(std::function<void()> on_reload) {
  on_reload_ = std::move(on_reload);
  reload_signals_.add(SIGHUP);
  WaitForReload();
}

void event_loop::WaitForReload() {
  reload_signals_.async_wait(
      [this](const boost::system::error_code& error, int) {
        if (error)
          return;
        on_reload_();
        WaitForReload();
      });
}

void event_loop::Run() {
  const boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard = boost::asio::make_work_guard(context_);
  context_.run();
}

void event_loop::Quit() {
  context_.stop();
}

}  // namespace papayakeel
