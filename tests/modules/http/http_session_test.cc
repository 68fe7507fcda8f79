// Tests of connections to a listener, over the loopback.
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "modules/http/http_listener.h"
#include "tests/modules/support/late_peer.h"
#include "tests/modules/support/run_until.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using boost::asio::ip::tcp;
using std::chrono::seconds;

const std::string kRequest = "GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n";

}  // namespace

TEST_GROUP(http_session) {
  boost::asio::io_context context;
  tcp::socket caller{context};
  std::optional<http_listener> listener;
  std::optional<http_exchange> exchange;  // The last one, not answered.
  int disconnects = 0;

  void setup() override {
    http_listener_settings settings;
    settings.listen = {"127.0.0.1", 0};
    http_listener_hooks hooks;
    hooks.handle = [this](http_exchange begun) {
      begun.on_disconnect([this] { ++disconnects; });
      exchange = std::move(begun);
    };
    listener.emplace(context, std::move(settings), std::move(hooks));
    CHECK(listener->Start().has_value());
    caller.connect({boost::asio::ip::address_v4::loopback(),
                    listener->local_address().port});
  }

  void teardown() override {
    exchange.reset();
    listener.reset();
    caller.close();
    context.restart();
    context.poll();
  }

  bool RunUntil(time_span limit, const std::function<bool()>& is_done) {
    return papayakeel::RunUntil(context, limit, is_done);
  }

  void CheckLeavingIsNoticed() {
    CHECK(RunUntil(seconds(2), [this] { return exchange.has_value(); }));
    CHECK_FALSE(RunUntil(kLeaveLimit, [this] { return disconnects > 0; }));
    caller.close();
    CHECK(RunUntil(kLeaveLimit, [this] { return disconnects == 1; }));
  }
};

// Guards against callers that leave unnoticed because they have sent further
// requests, which are not read yet (GONE).
TEST(http_session, NoticesThatACallerWithReadRequestsLeaves) {
  boost::asio::write(caller, boost::asio::buffer(kRequest + kRequest));
  CheckLeavingIsNoticed();
}

TEST(http_session, NoticesThatACallerWithUnreadRequestsLeaves) {
  boost::asio::write(caller, boost::asio::buffer(kRequest));
  CHECK(RunUntil(seconds(2), [this] { return exchange.has_value(); }));
  boost::asio::write(caller, boost::asio::buffer(kRequest));
  CheckLeavingIsNoticed();
}

TEST(http_session, NoticesThatACallerWithOneRequestLeaves) {
  boost::asio::write(caller, boost::asio::buffer(kRequest));
  CheckLeavingIsNoticed();
}

}  // namespace papayakeel
