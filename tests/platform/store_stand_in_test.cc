// Tests of the stand-in for the platform's store.
#include "tests/platform/store_stand_in.h"

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "drivers/event_loop.h"
#include "modules/http/http_fetch.h"
#include "platform/platform_contracts.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_GROUP(store_stand_in){};

// Guards against a use after free: the store ends between the expiry of a watch
// and the handler of its timer.
TEST(store_stand_in, EndsWhileAWatchExpires) {
  boost::asio::io_context context;
  std::unique_ptr<store_stand_in> store =
      std::make_unique<store_stand_in>(context);
  bool is_answered = false;
  fetch_request fetch;
  fetch.server = store->address();
  fetch.request = http_request(
      http::verb::get,
      MakeStoreContract().watch_target(store->revision(), milliseconds(100)),
      11);
  Fetch(context, std::move(fetch),
        [&is_answered](
            const tl::expected<http_response, fetch_error_code>& answer) {
          is_answered = answer.has_value();
        });
  const monotonic_time limit = event_loop::Now() + seconds(5);
  while (store->waiting_watches() == 0 && event_loop::Now() < limit)
    context.run_for(milliseconds(5));
  LONGS_EQUAL(1, store->waiting_watches());
  boost::asio::steady_timer end(context);
  end.expires_after(milliseconds(0));
  end.async_wait([&store](const boost::system::error_code&) { store.reset(); });
  // Both timers have expired when the context runs again.
  const monotonic_time expired = event_loop::Now() + milliseconds(150);
  while (event_loop::Now() < expired) {
  }
  context.run_for(milliseconds(50));
  CHECK(store == nullptr);
  CHECK_FALSE(is_answered);
}

}  // namespace papayakeel::platform
