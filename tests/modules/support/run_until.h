// Runs the event loop of a test for a bounded time.
#ifndef TESTS_MODULES_SUPPORT_RUN_UNTIL_H_
#define TESTS_MODULES_SUPPORT_RUN_UNTIL_H_

#include <functional>

#include <boost/asio/io_context.hpp>

#include "core/monotonic_time.h"

namespace papayakeel {

// Runs the event loop until `is_done`, for at most `limit`. Returns whether it
// is done.
bool RunUntil(boost::asio::io_context& context,
              time_span limit,
              const std::function<bool()>& is_done);

}  // namespace papayakeel

#endif  // TESTS_MODULES_SUPPORT_RUN_UNTIL_H_
