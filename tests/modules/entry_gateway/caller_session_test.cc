// Tests of requests as callers send them, over loopback connections.
#include "modules/entry_gateway/caller_session.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include "drivers/event_loop.h"
#include "modules/entry_gateway/http_message.h"
#include "tests/modules/support/late_peer.h"
#include "tests/modules/support/packet_filter.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using tcp = boost::asio::ip::tcp;

struct logged_refusal {
  std::string request_id;
  unsigned status = 0;
  std::string reason;
  std::string detail;
  std::uint64_t state_version = 0;
};

// A host of one session. Each request gets an answer with the size of its body
// when `answers_at_once` is true.
class session_fixture {
 public:
  session_fixture() : caller_(context_) {
    host_.limits = [this] { return limits; };
    host_.state_version = [this] { return version; };
    host_.reserve = [](std::size_t) { return true; };
    host_.release = [](std::size_t) {};
    host_.lost = [this](const lost_caller& lost) {
      losses.emplace_back(lost.reason);
      unanswered += lost.unanswered;
    };
    host_.closed = [](caller_session&) {};
    host_.refused = [this](const refused_request& refused) {
      refusals.push_back({std::string((*refused.message)["Id"]),
                          static_cast<unsigned>(refused.status),
                          std::string(refused.reason), refused.detail,
                          refused.state_version});
    };
    host_.handle = [this](caller_request request) {
      requests.push_back(std::move(request));
      if (answers_at_once)
        Answer(requests.size() - 1);
    };
    tcp::acceptor acceptor(context_,
                           {boost::asio::ip::address_v4::loopback(), 0});
    caller_.connect(acceptor.local_endpoint());
    caller_.set_option(tcp::no_delay(true));
    session_ = std::make_shared<caller_session>(host_, acceptor.accept());
    session_->Start();
    caller_.non_blocking(true);
  }
  ~session_fixture() {
    session_->Close();
    requests.clear();
    context_.run_for(milliseconds(1));
  }
  session_fixture(const session_fixture&) = delete;
  session_fixture& operator=(const session_fixture&) = delete;

  void Answer(std::size_t index) {
    http_response response(http::status::ok, 11);
    response.body() =
        answer_body.empty()
            ? std::to_string(requests[index].message.body().size())
            : answer_body;
    session_->Respond(requests[index].number, std::move(response), false);
  }

  // Writes the bytes and lets the session read them.
  void Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      boost::system::error_code error;
      sent += caller_.write_some(
          boost::asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
      if (error && error != boost::asio::error::would_block)
        return;
      Run();
    }
    Run();
  }

  // Runs the session until it has nothing to do, and collects what it sent.
  void Run() {
    context_.restart();
    bool has_progressed = true;
    while (has_progressed) {
      has_progressed = context_.poll() > 0;
      if (!is_reading)
        continue;
      char buffer[16384];
      boost::system::error_code error;
      const std::size_t size =
          caller_.read_some(boost::asio::buffer(buffer), error);
      received.append(buffer, size);
      has_progressed |= size > 0;
    }
  }

  bool RunUntil(const std::function<bool()>& is_done) {
    const monotonic_time limit = event_loop::Now() + seconds(5);
    while (!is_done() && event_loop::Now() < limit)
      Run();
    return is_done();
  }

  void RunFor(time_span span) {
    const monotonic_time end = event_loop::Now() + span;
    while (event_loop::Now() < end) {
      Run();
      std::this_thread::sleep_for(milliseconds(2));
    }
  }

  caller_session& session() { return *session_; }
  void Leave() { caller_.close(); }
  void GoDark() { DropArrivingPackets(caller_.native_handle()); }

  caller_limits limits;
  std::uint64_t version = 7;  // Of the desired state, or 0 if none is known.
  bool answers_at_once = true;
  std::string answer_body;  // Empty: the size of the request's body.
  bool is_reading = true;   // Whether the caller reads what it gets.
  std::vector<caller_request> requests;
  std::vector<logged_refusal> refusals;
  std::vector<std::string> losses;  // Reasons.
  std::size_t unanswered = 0;       // Requests of lost callers.
  std::string received;

 private:
  boost::asio::io_context context_;
  session_host host_;
  tcp::socket caller_;
  std::shared_ptr<caller_session> session_;
};

// A caller that reads nothing while its answers are written. They are more than
// the kernels on both ends take.
constexpr int kLateAnswers = 24;
constexpr std::size_t kLateAnswerBytes = 1 << 20;

// The limit for a write that makes no progress is 10 s.
constexpr milliseconds kStallLimit{11'000};

std::string NumberedRequest(int id) {
  return "GET /a/ HTTP/1.1\r\nHost: a\r\nId: " + std::to_string(id) +
         "\r\n\r\n";
}

}  // namespace

TEST_GROUP(caller_session){};

// Guards against pipelined requests that are run twice or rejected because
// parsed bytes are read again. The buffer holds unparsed requests here while
// the session reads the next bytes.
TEST(caller_session, RunsRequestsBeyondThePipelineLimitOnce) {
  session_fixture fixture;
  fixture.answers_at_once = false;
  std::string bytes;
  for (int id = 100; id < 134; ++id)
    bytes += NumberedRequest(id);
  fixture.Send(bytes);
  CHECK(fixture.RunUntil([&] { return fixture.requests.size() == 32; }));
  // The second response is ready before the first is written, so the session
  // writes both without a pause.
  fixture.Answer(1);
  fixture.Answer(0);
  CHECK(fixture.RunUntil([&] { return fixture.requests.size() == 34; }));
  fixture.Send(NumberedRequest(134) + NumberedRequest(135));
  for (std::size_t index = 2; index < 32; ++index)
    fixture.Answer(index);
  CHECK(fixture.RunUntil([&] {
    return fixture.requests.size() >= 36 || !fixture.refusals.empty();
  }));
  std::string ids;
  for (const caller_request& each : fixture.requests)
    ids += std::string(ToStringView(each.message["Id"])) + ' ';
  std::string expected;
  for (int id = 100; id < 136; ++id)
    expected += std::to_string(id) + ' ';
  STRCMP_EQUAL(expected.c_str(), ids.c_str());
  LONGS_EQUAL(0, fixture.refusals.size());
}

// Guards against refused requests that leave no trace in the log.
TEST(caller_session, ReportsEachRefusal) {
  struct sample {
    std::string bytes;
    logged_refusal refusal;
  };
  const std::string start = "POST /a/ HTTP/1.1\r\nId: r-1\r\n";
  const std::vector<sample> samples = {
      {start + "\r\n", {"r-1", 400, "malformed", "host", 7}},
      {start + "Host: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
       {"r-1", 400, "malformed", "transfer_encoding", 7}},
      {"POST a HTTP/1.1\r\nId: r-1\r\nHost: a\r\n\r\n",
       {"r-1", 400, "malformed", "path", 7}},
      {start + "Host: a\r\nContent-Length: 101\r\n\r\n",
       {"r-1", 413, "body_limit", "limit 100 bytes", 7}},
      {start + "Host: a\r\nX: " + std::string(500, 'x') + "\r\n\r\n",
       {"r-1", 431, "header_limit", "limit 400 bytes", 7}},
  };
  for (const sample& each : samples) {
    session_fixture fixture;
    fixture.limits.header_bytes = 400;
    fixture.limits.body_bytes = 100;
    fixture.Send(each.bytes);
    CHECK(fixture.RunUntil([&] { return !fixture.refusals.empty(); }));
    LONGS_EQUAL(1, fixture.refusals.size());
    const logged_refusal& refusal = fixture.refusals.front();
    STRCMP_EQUAL(each.refusal.request_id.c_str(), refusal.request_id.c_str());
    LONGS_EQUAL(each.refusal.status, refusal.status);
    STRCMP_EQUAL(each.refusal.reason.c_str(), refusal.reason.c_str());
    STRCMP_EQUAL(each.refusal.detail.c_str(), refusal.detail.c_str());
    LONGS_EQUAL(each.refusal.state_version, refusal.state_version);
    LONGS_EQUAL(0, fixture.requests.size());
  }
}

// Guards against a length that no memory holds and that ends the process when
// the first bytes of the body arrive with the header.
TEST(caller_session, HugeLengthIsRefused) {
  session_fixture fixture;
  fixture.limits.body_bytes = 1 << 20;
  fixture.Send(
      "POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999999999\r\n"
      "\r\nx");
  CHECK(fixture.RunUntil([&] { return !fixture.refusals.empty(); }));
  LONGS_EQUAL(413, fixture.refusals.front().status);
  LONGS_EQUAL(0, fixture.requests.size());
}

// Guards against a chunk extension or a trailer that is buffered without end.
TEST(caller_session, EndlessChunkFramingIsRefused) {
  for (const char* const chunk : {"1;", "0\r\nX: "}) {
    session_fixture fixture;
    fixture.limits.body_bytes = 1 << 20;
    fixture.Send(std::string("POST /a/ HTTP/1.1\r\nHost: a\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n") +
                 chunk + std::string(1 << 20, 'e'));
    CHECK_TEXT(fixture.RunUntil([&] { return !fixture.refusals.empty(); }),
               chunk);
    LONGS_EQUAL(400, fixture.refusals.front().status);
    STRCMP_EQUAL("chunk framing too long",
                 fixture.refusals.front().detail.c_str());
    LONGS_EQUAL(0, fixture.requests.size());
  }
}

// Guards against proper requests that get 413 or 431 for the built-in limits
// before the operator's limits are known.
TEST(caller_session, RefusesWithoutDesiredStateAsNotRun) {
  const std::string start = "POST /a/ HTTP/1.1\r\nHost: a\r\nId: r-1\r\n";
  const std::vector<std::string> samples = {
      start + "Content-Length: 101\r\n\r\n",
      start + "Content-Length: 50\r\n\r\n",
      start + "Content-Length: 9000000000000000000\r\n\r\nx",
      start + "Content-Length: 50\r\nExpect: 100-continue\r\n\r\n",
      start + "Transfer-Encoding: chunked\r\n\r\n",
      start + "Transfer-Encoding: chunked\r\n\r\n65\r\n",
      start + "X: " + std::string(500, 'x') + "\r\n\r\n",
  };
  for (const std::string& each : samples) {
    session_fixture fixture;
    fixture.version = 0;
    fixture.limits.header_bytes = 400;
    fixture.limits.body_bytes = 100;
    fixture.Send(each);
    CHECK(fixture.RunUntil([&] { return !fixture.received.empty(); }));
    STRNCMP_EQUAL("HTTP/1.1 503 ", fixture.received.c_str(), 13);
    CHECK(fixture.received.find("\r\nRetry-After: 0.5\r\n") !=
          std::string::npos);
    CHECK(fixture.received.find("\r\nConnection: close\r\n") !=
          std::string::npos);
    LONGS_EQUAL(1, fixture.refusals.size());
    STRCMP_EQUAL("no_desired_state", fixture.refusals.front().reason.c_str());
    STRCMP_EQUAL("r-1", fixture.refusals.front().request_id.c_str());
    LONGS_EQUAL(0, fixture.refusals.front().state_version);
    LONGS_EQUAL(0, fixture.requests.size());
  }
}

TEST(caller_session, RejectsMalformedRequestWithoutDesiredState) {
  session_fixture fixture;
  fixture.version = 0;
  fixture.Send("POST /a/ HTTP/1.1\r\nContent-Length: 5\r\n\r\n");
  CHECK(fixture.RunUntil([&] { return !fixture.received.empty(); }));
  STRNCMP_EQUAL("HTTP/1.1 400 ", fixture.received.c_str(), 13);
}

// Guards against a request that is measured by the built-in limits although
// the desired state is known before its header is complete.
TEST(caller_session, UsesLimitsThatArriveDuringTheHeader) {
  session_fixture fixture;
  fixture.version = 0;
  fixture.limits.header_bytes = 400;
  fixture.limits.body_bytes = 100;
  fixture.Send("POST /a/ HTTP/1.1\r\nHost: a\r\n");
  fixture.version = 7;
  fixture.limits.header_bytes = 800;
  fixture.limits.body_bytes = 200;
  fixture.Send("Content-Length: 150\r\nX: " + std::string(500, 'x') +
               "\r\n\r\n" + std::string(150, 'b'));
  CHECK(fixture.RunUntil([&] { return !fixture.received.empty(); }));
  STRNCMP_EQUAL("HTTP/1.1 200 ", fixture.received.c_str(), 13);
  LONGS_EQUAL(150, fixture.requests.front().message.body().size());
}

// Guards against callers that are cut off because they read late (LOST).
TEST(caller_session, LateReaderGetsItsAnswers) {
  session_fixture fixture;
  fixture.answer_body.assign(kLateAnswerBytes, 'x');
  fixture.is_reading = false;
  std::string bytes;
  for (int id = 0; id < kLateAnswers; ++id)
    bytes += NumberedRequest(id);
  fixture.Send(bytes);
  fixture.RunFor(kLatePause);
  fixture.is_reading = true;
  const std::size_t body_bytes = kLateAnswers * kLateAnswerBytes;
  CHECK(
      fixture.RunUntil([&] { return fixture.received.size() >= body_bytes; }));
  LONGS_EQUAL(0, fixture.losses.size());
}

// Guards against callers that never read again and hold their answers.
TEST(caller_session, CallerThatNeverReadsIsLetGo) {
  session_fixture fixture;
  fixture.answer_body.assign(kLateAnswers * kLateAnswerBytes, 'x');
  fixture.is_reading = false;
  fixture.Send(NumberedRequest(1) + NumberedRequest(2));
  fixture.RunFor(kStallLimit);
  LONGS_EQUAL(1, fixture.losses.size());
  STRCMP_EQUAL("stalled", fixture.losses.front().c_str());
  LONGS_EQUAL(2, fixture.unanswered);
}

// Guards against answers of callers that have stopped reading and that leave no
// memory for those of others.
TEST(caller_session, StalledCallerGivesWay) {
  session_fixture fixture;
  fixture.answers_at_once = false;
  fixture.answer_body.assign(kLateAnswers * kLateAnswerBytes, 'x');
  fixture.is_reading = false;
  fixture.Send(NumberedRequest(1) + NumberedRequest(2) + NumberedRequest(3));
  CHECK(fixture.RunUntil([&] { return fixture.requests.size() == 3; }));
  int cancelled = 0;
  fixture.requests[2].session->SetDisconnectCallback(
      fixture.requests[2].number, [&cancelled] { ++cancelled; });
  fixture.Answer(0);
  fixture.Answer(1);
  fixture.RunFor(milliseconds(500));
  CHECK_FALSE(fixture.session().IsStalled(event_loop::Now()));
  fixture.RunFor(seconds(1));
  CHECK(fixture.session().IsStalled(event_loop::Now()));
  CHECK(fixture.session().held_answer_bytes() >=
        2 * fixture.answer_body.size());
  fixture.session().GiveWay();
  LONGS_EQUAL(0, cancelled);
  fixture.Run();
  LONGS_EQUAL(1, cancelled);
  LONGS_EQUAL(0, fixture.session().held_answer_bytes());
  STRCMP_EQUAL("memory", fixture.losses.front().c_str());
  LONGS_EQUAL(3, fixture.unanswered);
}

// Guards against dark callers that are taken for late ones.
TEST(caller_session, CallerThatGoesDarkWithAClosedWindowIsLetGo) {
  session_fixture fixture;
  fixture.answer_body.assign(kLateAnswers * kLateAnswerBytes, 'x');
  fixture.is_reading = false;
  fixture.Send(NumberedRequest(1));
  fixture.RunFor(kShortPause);
  fixture.GoDark();
  fixture.RunFor(kDarkWithClosedWindowLimit);
  LONGS_EQUAL(1, fixture.losses.size());
  STRCMP_EQUAL("silent", fixture.losses.front().c_str());
}

TEST(caller_session, CallerThatGoesDarkWithUnacknowledgedBytesIsLetGo) {
  session_fixture fixture;
  fixture.answers_at_once = false;
  fixture.Send(NumberedRequest(1));
  CHECK(fixture.RunUntil([&] { return fixture.requests.size() == 1; }));
  fixture.GoDark();
  fixture.Answer(0);
  fixture.RunFor(kDarkLimit);
  LONGS_EQUAL(1, fixture.losses.size());
  STRCMP_EQUAL("unreachable", fixture.losses.front().c_str());
}

TEST(caller_session, IdleCallerThatGoesDarkIsLetGo) {
  session_fixture fixture;
  fixture.GoDark();
  fixture.RunFor(kDarkIdleLimit);
  LONGS_EQUAL(1, fixture.losses.size());
  STRCMP_EQUAL("unreachable", fixture.losses.front().c_str());
}

// Guards against a caller that leaves unnoticed because more of its requests
// wait than the session reads (GONE).
TEST(caller_session, NoticesThatACallerWithAFullPipelineLeaves) {
  session_fixture fixture;
  fixture.answers_at_once = false;
  std::string bytes;
  for (int id = 100; id < 140; ++id)
    bytes += NumberedRequest(id);
  fixture.Send(bytes);
  CHECK(fixture.RunUntil([&] { return fixture.requests.size() == 32; }));
  std::size_t cancelled = 0;
  for (const caller_request& each : fixture.requests) {
    each.session->SetDisconnectCallback(each.number,
                                        [&cancelled] { ++cancelled; });
  }
  fixture.RunFor(kLeaveLimit);
  LONGS_EQUAL(0, cancelled);
  fixture.Leave();
  fixture.RunFor(kLeaveLimit);
  LONGS_EQUAL(32, cancelled);
  LONGS_EQUAL(32, fixture.requests.size());
}

}  // namespace papayakeel
