// The only event loop of the process. All modules run on its single thread and
// need no locks.
#ifndef DRIVERS_EVENT_LOOP_H_
#define DRIVERS_EVENT_LOOP_H_

#include <functional>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "core/monotonic_time.h"
#include "core/service.h"

namespace papayakeel {

class event_loop : public service {
 public:
  static constexpr std::string_view kName = "event_loop";

  event_loop();

  std::string_view name() const override { return kName; }

  boost::asio::io_context& context() { return context_; }

  // Returns the current monotonic time. Modules read no other clock.
  static monotonic_time Now();

  // Calls `on_terminate` on the first SIGTERM or SIGINT, and stops the loop on
  // the second.
  void HandleSignals(std::function<void()> on_terminate);
  // Calls `on_reload` on each SIGHUP.
  void HandleReload(std::function<void()> on_reload);

  // Processes events until `Quit` is called.
  void Run();
  void Quit();

 private:
  void WaitForSignal();
  void WaitForReload();

  boost::asio::io_context context_;
  boost::asio::signal_set signals_;
  boost::asio::signal_set reload_signals_;
  std::function<void()> on_terminate_;
  std::function<void()> on_reload_;
};

}  // namespace papayakeel

#endif  // DRIVERS_EVENT_LOOP_H_
