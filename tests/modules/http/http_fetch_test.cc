// Tests of fetches from faulty servers, over loopback connections.
#include "modules/http/http_fetch.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "tests/modules/support/endless_answers.h"
#include "tests/modules/support/malformed_answers.h"
#include "tests/modules/support/scripted_server.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using fetch_result = tl::expected<http_response, fetch_error_code>;

constexpr char kStart[] = "HTTP/1.1 200 OK\r\nPapayakeel-Request-Id: r1\r\n";

// More than the kernels take of a request that is not read.
constexpr std::size_t kUploadBytes = 8 << 20;
constexpr std::size_t kAnswerLimit = 512 << 10;
// What the kernels may hold of the written bytes.
constexpr std::uint64_t kKernelBytes = 8 << 20;

}  // namespace

TEST_GROUP(http_fetch) {
  boost::asio::io_context context;
  std::unique_ptr<scripted_server> server;
  fetch_request fetch_limits_;
  std::size_t upload_bytes_ = 0;

  void setup() override {
    fetch_limits_.timeout = seconds(20);
  }

  void teardown() override {
    server.reset();
  }

  fetch_result FetchFrom(const server_script& script) {
    server = std::make_unique<scripted_server>(
        context, [script](std::size_t, std::size_t, const std::string&) {
          return script;
        });
    fetch_request fetch = fetch_limits_;
    fetch.server = server->address();
    fetch.request = http_request(http::verb::get, "/", 11);
    if (upload_bytes_ > 0) {
      fetch.request.method(http::verb::post);
      fetch.request.body() = std::string(upload_bytes_, 'x');
    }
    fetch.max_answer_bytes = kAnswerLimit;
    std::optional<fetch_result> result;
    Fetch(context, std::move(fetch),
          [&result](fetch_result ended) { result = std::move(ended); });
    while (!result)
      context.run_for(milliseconds(1));
    for (int step = 0; step < 2000 && !server->AllAreClosed(); ++step)
      context.run_for(milliseconds(1));
    CHECK(server->AllAreClosed());
    return std::move(*result);
  }
};

// Guards against a fetch that reads an endless answer until its timeout, and
// against the process that ends for want of memory.
TEST(http_fetch, EndlessAnswerEndsWithinBoundedBytes) {
  for (const endless_answer& each : MakeEndlessAnswers(kStart)) {
    const fetch_result result = FetchFrom({each.start, each.endless, {}});
    if (!each.is_whole) {
      CHECK_FALSE_TEXT(result.has_value(), each.name);
      STRCMP_EQUAL_TEXT("broken", ToString(result.error()), each.name);
    }
    CHECK_TEXT(server->bytes_written() < 3 * kAnswerLimit + kKernelBytes,
               each.name);
  }
}

// Guards against limits that break ordinary answers.
TEST(http_fetch, ReadsAnswersOfEveryFraming) {
  const std::string body(300 << 10, 'b');
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string with_length =
      start + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
      body;
  const std::string chunked =
      start + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + body.substr(0, 16) +
      "\r\n4aff0;x=y\r\n" + body.substr(16) + "\r\n0\r\nX-Trailer: t\r\n\r\n";
  for (const std::string& bytes : {with_length, chunked}) {
    const fetch_result result = FetchFrom({bytes, "", {}});
    CHECK(result.has_value());
    LONGS_EQUAL(body.size(), result->body().size());
  }
  const fetch_result empty =
      FetchFrom({start + "Content-Length: 0\r\n\r\n", "", {}});
  CHECK(empty.has_value());
}

// Guards against an entry of the store, a relay or a process that is read from
// a malformed response.
TEST(http_fetch, InvalidStatusesAreBroken) {
  std::string accepted;
  for (const malformed_answer& each : MakeInvalidStatuses("X-A: a\r\n")) {
    const fetch_result result = FetchFrom({each.bytes, "", {}});
    if (result.has_value() || result.error() != fetch_error_code::kBroken)
      accepted += each.name + "; ";
  }
  STRCMP_EQUAL("", accepted.c_str());
}

TEST(http_fetch, MalformedFieldsAreBroken) {
  std::string accepted;
  for (const malformed_answer& each : MakeMalformedFields("X-A: a\r\n")) {
    const fetch_result result = FetchFrom({each.bytes, "", {}});
    if (result.has_value() || result.error() != fetch_error_code::kBroken)
      accepted += each.name + "; ";
  }
  STRCMP_EQUAL("", accepted.c_str());
}

// Guards against part of a response without a length that counts as whole
// because the server reset the connection while the request was being written,
// and against whole responses that are lost with it.
TEST(http_fetch, ResetsWhileTheRequestIsWritten) {
  upload_bytes_ = kUploadBytes;
  const std::string head = "HTTP/1.1 413 Too Long\r\n";
  for (const script_end end : {script_end::kReset, script_end::kResetAtOnce}) {
    const fetch_result part = FetchFrom({head + "\r\npart", "", {}, end});
    CHECK_FALSE(part.has_value());
    STRCMP_EQUAL("broken", ToString(part.error()));
    for (const std::string& whole :
         {head + "Content-Length: 2\r\n\r\nno",
          head + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"}) {
      const fetch_result result = FetchFrom({whole, "", {}, end});
      CHECK(result.has_value());
      STRCMP_EQUAL("no", result->body().c_str());
    }
  }
}

// Guards against a large response that is given up again and again because its
// link is slow.
TEST(http_fetch, ReadsOnWhileTheResponseArrives) {
  const server_script slow = {
      "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n",
      std::string(1000, 'b'), milliseconds(20)};
  fetch_limits_.timeout = milliseconds(300);
  const fetch_result given_up = FetchFrom(slow);
  CHECK_FALSE(given_up.has_value());
  STRCMP_EQUAL("timed_out", ToString(given_up.error()));
  fetch_limits_.progress_timeout = milliseconds(300);
  fetch_limits_.max_timeout = seconds(15);
  const fetch_result read = FetchFrom(slow);
  CHECK(read.has_value());
  LONGS_EQUAL(40000, read->body().size());
}

// Guards against a fetch that a server keeps alive for ever, or that waits for
// a server which fell silent in the middle of its response.
TEST(http_fetch, ResponsesWithoutEndOrProgressAreGivenUp) {
  const std::string start = "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n";
  fetch_limits_.timeout = milliseconds(100);
  fetch_limits_.progress_timeout = milliseconds(100);
  fetch_limits_.max_timeout = milliseconds(400);
  for (const server_script& script :
       {server_script{start, "b", milliseconds(20)},
        server_script{start + "b", "", {}}}) {
    const monotonic_time started_at = std::chrono::steady_clock::now();
    const fetch_result result = FetchFrom(script);
    CHECK_FALSE(result.has_value());
    STRCMP_EQUAL("timed_out", ToString(result.error()));
    CHECK(std::chrono::steady_clock::now() - started_at < seconds(10));
  }
}

}  // namespace papayakeel
