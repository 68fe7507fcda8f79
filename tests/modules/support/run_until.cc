// A loop in short steps.
#include "tests/modules/support/run_until.h"

#include <chrono>

#include "drivers/event_loop.h"

namespace papayakeel {

namespace {

constexpr std::chrono::milliseconds kStep{2};

}  // namespace

bool RunUntil(boost::asio::io_context& context,
              time_span limit,
              const std::function<bool()>& is_done) {
  const monotonic_time end = event_loop::Now() + limit;
  while (!is_done() && event_loop::Now() < end) {
    context.restart();
    context.run_for(kStep);
  }
  return is_done();
}

}  // namespace papayakeel
