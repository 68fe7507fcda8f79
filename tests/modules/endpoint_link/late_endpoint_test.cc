// Tests of endpoints that read a request late or go dark meanwhile, over
// loopback connections.
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "drivers/event_loop.h"
#include "modules/endpoint_link/endpoint_link.h"
#include "platform/platform_contracts.h"
#include "tests/modules/support/packet_filter.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

// More than the kernels on both ends take of a connection that is not read.
constexpr std::size_t kBodyBytes = 16 << 20;
constexpr seconds kRequestLimit{8};
constexpr milliseconds kLatePause{2500};
constexpr milliseconds kShortPause{1000};

// How soon a dark endpoint is to be noticed; the request's own limit is later.
constexpr milliseconds kDarkLimit{2000};
// One idle second, two probes a second apart, and the kernel's slack.
constexpr milliseconds kDarkIdleLimit{4500};
// The interval between probes comes on top: a second, or with kernels that
// cannot bound it as long as the window has been closed.
constexpr milliseconds kDarkWithClosedWindowLimit{3500};

}  // namespace

TEST_GROUP(late_endpoint) {
  service_registry registry;
  event_loop* loop = nullptr;
  endpoint_link* link = nullptr;
  std::optional<tcp::acceptor> acceptor;
  std::optional<tcp::socket> endpoint;
  std::optional<endpoint_result> result;

  void setup() override {
    registry.Register(std::make_unique<event_loop>());
    registry.Register(std::make_unique<endpoint_link>(
        registry, platform::MakeCallerContract(), 256 << 20));
    registry.StartAll();
    loop = registry.Find<event_loop>(event_loop::kName);
    link = registry.Find<endpoint_link>(endpoint_link::kName);
    acceptor.emplace(loop->context(),
                     tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  }

  void teardown() override {
    registry.StopAll();
    endpoint.reset();
    acceptor.reset();
  }

  // Sends an upload and accepts its connection, of which nothing is read yet.
  void BeginUpload(std::size_t body_bytes) {
    endpoint_exchange exchange;
    exchange.endpoint_id = "i-1";
    exchange.address = {"127.0.0.1", acceptor->local_endpoint().port()};
    exchange.header = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                      std::to_string(body_bytes) + "\r\n\r\n";
    exchange.body = std::make_shared<const std::string>(body_bytes, 'x');
    exchange.request_id = "r1";
    exchange.deadline = event_loop::Now() + kRequestLimit;
    link->Begin(std::move(exchange),
                [this](endpoint_result ended) { result = std::move(ended); });
    endpoint.emplace(acceptor->accept());
    endpoint->non_blocking(true);
  }

  // Runs the event loop until the exchange ends; returns whether it has.
  bool RunFor(time_span span) {
    const monotonic_time end = event_loop::Now() + span;
    while (!result && event_loop::Now() < end)
      loop->context().run_for(milliseconds(2));
    return result.has_value();
  }

  void ReadAndAnswer(std::size_t body_bytes) {
    std::string bytes(1 << 16, ' ');
    std::size_t received = 0;
    const monotonic_time end = event_loop::Now() + seconds(5);
    while (received < body_bytes && event_loop::Now() < end && !result) {
      boost::system::error_code error;
      received += endpoint->read_some(boost::asio::buffer(bytes), error);
      loop->context().poll();
    }
    const header_names names = platform::MakeCallerContract().headers;
    boost::asio::write(*endpoint, boost::asio::buffer(
                                      "HTTP/1.1 200 OK\r\n" + names.request_id +
                                      ": r1\r\n" + names.answer_proof +
                                      ": s\r\nContent-Length: 2\r\n\r\nok"));
  }

  void CheckOutcome(attempt_outcome expected) {
    STRCMP_EQUAL(std::string(ToString(expected)).c_str(),
                 std::string(ToString(result->outcome)).c_str());
  }
};

// Guards against an upload that is broken off because its endpoint reads the
// body when its work needs it (LOST).
TEST(late_endpoint, AnswersAnUploadThatItReadsLate) {
  BeginUpload(kBodyBytes);
  CHECK_FALSE(RunFor(kLatePause));
  ReadAndAnswer(kBodyBytes);
  CHECK(RunFor(seconds(2)));
  CheckOutcome(attempt_outcome::kAnswered);
}

// Guards against dark endpoints that hold a request until its limit.
TEST(late_endpoint, IsNoticedWhenDarkWithAClosedWindow) {
  BeginUpload(kBodyBytes);
  CHECK_FALSE(RunFor(kShortPause));
  DropArrivingPackets(endpoint->native_handle());
  CHECK(RunFor(kDarkWithClosedWindowLimit));
  CheckOutcome(attempt_outcome::kBroken);
}

// Nothing is in flight: keep-alive probes have to tell.
TEST(late_endpoint, IsNoticedWhenDarkAtWork) {
  BeginUpload(0);
  CHECK_FALSE(RunFor(milliseconds(50)));
  DropArrivingPackets(endpoint->native_handle());
  CHECK(RunFor(kDarkIdleLimit));
  CheckOutcome(attempt_outcome::kBroken);
}

// Bytes are in flight, with an open window.
TEST(late_endpoint, IsNoticedWhenDarkWithUnacknowledgedBytes) {
  BeginUpload(kBodyBytes);
  DropArrivingPackets(endpoint->native_handle());
  CHECK(RunFor(kDarkLimit));
  CheckOutcome(attempt_outcome::kBroken);
}

}  // namespace papayakeel
