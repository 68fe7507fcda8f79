// Tests of endpoints that read a request late or go dark meanwhile, over
// loopback connections.
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "drivers/event_loop.h"
#include "modules/endpoint_link/endpoint_link.h"
#include "platform/platform_contracts.h"
#include "tests/modules/support/late_peer.h"
#include "tests/modules/support/run_until.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Later than any limit after which a dark endpoint is to be noticed.
constexpr seconds kRequestLimit{8};

}  // namespace

TEST_GROUP(late_endpoint) {
  service_registry registry;
  event_loop* loop = nullptr;
  endpoint_link* link = nullptr;
  std::optional<late_server> endpoint;
  std::optional<endpoint_result> result;

  void setup() override {
    registry.Register(std::make_unique<event_loop>());
    registry.Register(std::make_unique<endpoint_link>(
        registry, platform::MakeCallerContract(), 256 << 20));
    registry.StartAll();
    loop = registry.Find<event_loop>(event_loop::kName);
    link = registry.Find<endpoint_link>(endpoint_link::kName);
    endpoint.emplace(loop->context());
  }

  void teardown() override {
    registry.StopAll();
    endpoint.reset();
  }

  // Sends an upload, of which nothing is read yet.
  void BeginUpload(std::size_t body_bytes) {
    endpoint_exchange exchange;
    exchange.endpoint_id = "i-1";
    exchange.address = endpoint->address();
    exchange.header = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                      std::to_string(body_bytes) + "\r\n\r\n";
    exchange.body = std::make_shared<const std::string>(body_bytes, 'x');
    exchange.request_id = "r1";
    exchange.deadline = event_loop::Now() + kRequestLimit;
    link->Begin(std::move(exchange),
                [this](endpoint_result ended) { result = std::move(ended); });
    endpoint->Accept();
  }

  // Runs the event loop until the exchange ends; returns whether it has.
  bool RunFor(time_span span) {
    return RunUntil(loop->context(), span,
                    [this] { return result.has_value(); });
  }

  void CheckOutcome(attempt_outcome expected) {
    STRCMP_EQUAL(std::string(ToString(expected)).c_str(),
                 std::string(ToString(result->outcome)).c_str());
  }
};

// Guards against an upload that is broken off because its endpoint reads the
// body when its work needs it (LOST).
TEST(late_endpoint, AnswersAnUploadThatItReadsLate) {
  BeginUpload(kUnreadBytes);
  CHECK_FALSE(RunFor(kLatePause));
  const header_names names = platform::MakeCallerContract().headers;
  endpoint->ReadAndAnswer(
      kUnreadBytes, "HTTP/1.1 200 OK\r\n" + names.request_id + ": r1\r\n" +
                        names.answer_proof +
                        ": s\r\nContent-Length: 2\r\n\r\nok");
  CHECK(RunFor(seconds(2)));
  CheckOutcome(attempt_outcome::kAnswered);
}

// Guards against dark endpoints that hold a request until its limit.
TEST(late_endpoint, IsNoticedWhenDarkWithAClosedWindow) {
  BeginUpload(kUnreadBytes);
  CHECK_FALSE(RunFor(kShortPause));
  endpoint->GoDark();
  CHECK(RunFor(kDarkWithClosedWindowLimit));
  CheckOutcome(attempt_outcome::kBroken);
}

// Nothing is in flight: keep-alive probes have to tell.
TEST(late_endpoint, IsNoticedWhenDarkAtWork) {
  BeginUpload(0);
  CHECK_FALSE(RunFor(milliseconds(50)));
  endpoint->GoDark();
  CHECK(RunFor(kDarkIdleLimit));
  CheckOutcome(attempt_outcome::kBroken);
}

// Bytes are in flight, with an open window.
TEST(late_endpoint, IsNoticedWhenDarkWithUnacknowledgedBytes) {
  BeginUpload(kUnreadBytes);
  endpoint->GoDark();
  CHECK(RunFor(kDarkLimit));
  CheckOutcome(attempt_outcome::kBroken);
}

}  // namespace papayakeel
