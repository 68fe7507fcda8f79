// Tests of peers that read late, leave unnoticed or go dark, over loopback
// connections.
#include "drivers/connection_watch.h"

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "drivers/socket_options.h"
#include "tests/modules/support/late_peer.h"
#include "tests/modules/support/packet_filter.h"
#include "tests/modules/support/run_until.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using boost::asio::ip::tcp;
using std::chrono::seconds;

constexpr seconds kLongestPause{10};
constexpr std::size_t kFewBytes = 1000;

}  // namespace

TEST_GROUP(connection_watch) {
  boost::asio::io_context context;
  tcp::socket local{context};
  tcp::socket peer{context};
  int closes = 0;
  int silences = 0;
  std::optional<connection_watch> watch;
  std::string outgoing;
  std::optional<boost::system::error_code> read_error;
  std::optional<boost::system::error_code> write_error;
  char read_buffer[16];

  void setup() override {
    tcp::acceptor acceptor(context,
                           {boost::asio::ip::address_v4::loopback(), 0});
    peer.connect(acceptor.local_endpoint());
    local = acceptor.accept();
    peer.non_blocking(true);
    SetLowLatencyOptions(local.native_handle());
    watch.emplace(context, connection_watch_hooks{[this] { ++closes; },
                                                  [this] { ++silences; }});
    watch->Start(local.native_handle());
  }

  void teardown() override {
    watch.reset();
    local.close();
    peer.close();
    context.restart();
    context.poll();
  }

  void Read() {
    local.async_read_some(boost::asio::buffer(read_buffer),
                          [this](const boost::system::error_code& error,
                                 std::size_t) { read_error = error; });
  }

  void Write(std::size_t size) {
    outgoing.assign(size, 'x');
    boost::asio::async_write(local, boost::asio::buffer(outgoing),
                             [this](const boost::system::error_code& error,
                                    std::size_t) { write_error = error; });
    watch->WatchWrite(kLongestPause);
  }

  // Runs the event loop, and returns whether `is_done` within `limit`.
  bool RunUntil(time_span limit, const std::function<bool()>& is_done) {
    return papayakeel::RunUntil(context, limit, is_done);
  }

  void RunFor(time_span span) {
    RunUntil(span, [] { return false; });
  }

  // Reads until the peer has `size` bytes or the connection ends.
  std::size_t ReadAtPeer(std::size_t size) {
    std::size_t total = 0;
    std::string bytes(1 << 16, ' ');
    RunUntil(seconds(10), [&] {
      boost::system::error_code error;
      total += peer.read_some(boost::asio::buffer(bytes), error);
      return total >= size ||
             (error && error != boost::asio::error::would_block);
    });
    return total;
  }
};

// Guards against peers that are cut off because they read late (LOST).
TEST(connection_watch, KeepsAConnectionWhoseWindowIsClosed) {
  Write(kUnreadBytes);
  RunFor(kLatePause);
  LONGS_EQUAL(kUnreadBytes, ReadAtPeer(kUnreadBytes));
  LONGS_EQUAL(0, silences);
}

// The same with two pauses: the window opens and closes again.
TEST(connection_watch, KeepsAConnectionWhoseWindowClosesAgain) {
  Write(kUnreadBytes);
  RunFor(kLatePause);
  const std::size_t first = ReadAtPeer(kUnreadBytes / 4);
  RunFor(kLatePause);
  LONGS_EQUAL(kUnreadBytes, first + ReadAtPeer(kUnreadBytes - first));
  LONGS_EQUAL(0, silences);
}

// Guards against dark peers that are taken for late ones.
TEST(connection_watch, ReportsAPeerThatGoesDarkWithAClosedWindow) {
  Write(kUnreadBytes);
  RunFor(kShortPause);
  LONGS_EQUAL(0, silences);
  DropArrivingPackets(peer.native_handle());
  CHECK(RunUntil(kDarkWithClosedWindowLimit, [this] { return silences == 1; }));
}

TEST(connection_watch, LeavesADarkPeerToTheKernel) {
  Read();
  DropArrivingPackets(peer.native_handle());
  Write(kFewBytes);
  CHECK(RunUntil(kDarkLimit, [this] { return read_error.has_value(); }));
  CHECK(*read_error == boost::asio::error::timed_out);
}

TEST(connection_watch, LeavesADarkIdlePeerToTheKernel) {
  Read();
  DropArrivingPackets(peer.native_handle());
  CHECK(RunUntil(kDarkIdleLimit, [this] { return read_error.has_value(); }));
  CHECK(*read_error == boost::asio::error::timed_out);
}

// Guards against a close that is not noticed because bytes before it are not
// read (GONE).
TEST(connection_watch, ReportsACloseBehindUnreadBytes) {
  peer.write_some(boost::asio::buffer("unread"));
  watch->WatchForClose();
  RunFor(kLeaveLimit);
  LONGS_EQUAL(0, closes);
  peer.close();
  CHECK(RunUntil(kLeaveLimit, [this] { return closes == 1; }));
}

TEST(connection_watch, ReportsAReset) {
  watch->WatchForClose();
  peer.set_option(boost::asio::socket_base::linger(true, 0));
  peer.close();
  CHECK(RunUntil(kLeaveLimit, [this] { return closes == 1; }));
}

TEST(connection_watch, ReportsNoCloseThatIsIgnored) {
  watch->WatchForClose();
  watch->IgnoreClose();
  peer.close();
  RunFor(kLeaveLimit);
  LONGS_EQUAL(0, closes);
}

}  // namespace papayakeel
