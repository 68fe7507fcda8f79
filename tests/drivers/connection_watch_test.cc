// Tests of peers that read late, leave unnoticed or go dark, over loopback
// connections.
#include "drivers/connection_watch.h"

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "drivers/event_loop.h"
#include "drivers/socket_options.h"
#include "tests/modules/support/packet_filter.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLatePeerPause{2500};
constexpr milliseconds kShortPause{1000};
constexpr milliseconds kLongestPause{10'000};
constexpr std::size_t kManyBytes = 16 << 20;
constexpr std::size_t kFewBytes = 1000;

// Two seconds for the kernel's limit of one second and what it measures it by.
constexpr milliseconds kDarkLimit{2000};
// The interval between probes comes on top: a second, or with kernels that
// cannot bound it as long as the window has been closed.
constexpr milliseconds kDarkWithClosedWindowLimit{3500};
// One idle second, two probes a second apart, and the kernel's slack.
constexpr milliseconds kDarkIdleLimit{4500};
// In which callers that left are to be noticed.
constexpr milliseconds kCloseLimit{500};

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
    const monotonic_time end = event_loop::Now() + limit;
    while (!is_done() && event_loop::Now() < end) {
      context.restart();
      context.run_for(milliseconds(5));
    }
    return is_done();
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
  Write(kManyBytes);
  RunFor(kLatePeerPause);
  LONGS_EQUAL(kManyBytes, ReadAtPeer(kManyBytes));
  LONGS_EQUAL(0, silences);
}

// The same with two pauses: the window opens and closes again.
TEST(connection_watch, KeepsAConnectionWhoseWindowClosesAgain) {
  Write(kManyBytes);
  RunFor(kLatePeerPause);
  const std::size_t first = ReadAtPeer(kManyBytes / 4);
  RunFor(kLatePeerPause);
  LONGS_EQUAL(kManyBytes, first + ReadAtPeer(kManyBytes - first));
  LONGS_EQUAL(0, silences);
}

// Guards against dark peers that are taken for late ones.
TEST(connection_watch, ReportsAPeerThatGoesDarkWithAClosedWindow) {
  Write(kManyBytes);
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
  RunFor(kCloseLimit);
  LONGS_EQUAL(0, closes);
  peer.close();
  CHECK(RunUntil(kCloseLimit, [this] { return closes == 1; }));
}

TEST(connection_watch, ReportsAReset) {
  watch->WatchForClose();
  peer.set_option(boost::asio::socket_base::linger(true, 0));
  peer.close();
  CHECK(RunUntil(kCloseLimit, [this] { return closes == 1; }));
}

TEST(connection_watch, ReportsNoCloseThatIsIgnored) {
  watch->WatchForClose();
  watch->IgnoreClose();
  peer.close();
  RunFor(kCloseLimit);
  LONGS_EQUAL(0, closes);
}

}  // namespace papayakeel
