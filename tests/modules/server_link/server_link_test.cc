// Tests of exchanges with faulty servers, over loopback connections.
#include "modules/server_link/server_link.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "drivers/event_loop.h"
#include "tests/modules/support/endless_answers.h"
#include "tests/modules/support/late_peer.h"
#include "tests/modules/support/malformed_answers.h"
#include "tests/modules/support/run_until.h"
#include "tests/modules/support/scripted_server.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kStart[] = "HTTP/1.1 200 OK\r\nPapayakeel-Request-Id: r1\r\n";

constexpr std::size_t kAnswerLimit = 512 << 10;
// What the kernels may hold of the written bytes.
constexpr std::uint64_t kKernelBytes = 8 << 20;

}  // namespace

TEST_GROUP(server_link) {
  boost::asio::io_context context;
  std::unique_ptr<server_link> link;
  std::unique_ptr<scripted_server> server;
  std::size_t upload_bytes_ = 0;  // 0: a request without a body.

  void setup() override {
    link = std::make_unique<server_link>(context, server_link_settings());
  }

  void teardown() override {
    link.reset();
    server.reset();
  }

  exchange_result Exchange(const server_script& script) {
    server = std::make_unique<scripted_server>(
        context, [script](std::size_t, std::size_t, const std::string&) {
          return script;
        });
    link->SetConnectionShare(server->address(), 1);
    return ExchangeOnce();
  }

  // With the server that is there.
  exchange_result ExchangeOnce() {
    exchange_request exchange;
    exchange.id = 7;
    exchange.endpoint = server->address();
    http_request request(http::verb::get, "/", 11);
    if (upload_bytes_ > 0) {
      request.method(http::verb::post);
      request.body() = std::string(upload_bytes_, 'x');
      request.prepare_payload();
    }
    exchange.request = std::make_shared<const http_request>(std::move(request));
    exchange.deadline = event_loop::Now() + seconds(20);
    exchange.max_answer_bytes = kAnswerLimit;
    exchange.answer_id_header = "Papayakeel-Request-Id";
    std::optional<exchange_result> result;
    link->StartExchange(std::move(exchange), [&result](exchange_result ended) {
      result = std::move(ended);
    });
    while (!result)
      context.run_for(milliseconds(1));
    return std::move(*result);
  }
};

// Guards against an attempt that reads an endless answer until its deadline, or
// that counts as not run, and against the process that ends for want of memory.
TEST(server_link, EndlessAnswerEndsWithinBoundedBytes) {
  for (const endless_answer& each : MakeEndlessAnswers(kStart)) {
    const exchange_result result = Exchange({each.start, each.endless, {}});
    CHECK_TEXT(result.result == attempt_result::kUnknown, each.name);
    for (int step = 0; step < 2000 && !server->AllAreClosed(); ++step)
      context.run_for(milliseconds(1));
    CHECK_TEXT(server->AllAreClosed(), each.name);
    CHECK_TEXT(server->bytes_written() < 3 * kAnswerLimit + kKernelBytes,
               each.name);
  }
}

// Guards against an interim answer that is returned as the final one.
TEST(server_link, InterimAnswersPrecedeTheFinalOne) {
  const exchange_result result =
      Exchange({"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                "Papayakeel-Request-Id: 7\r\nContent-Length: 2\r\n\r\nok",
                "",
                {}});
  CHECK(result.result == attempt_result::kAnswered);
  LONGS_EQUAL(200, result.response.result_int());
}

// Guards against an upload that is broken off because its server reads the body
// when its work needs it.
TEST(server_link, AnswersAnUploadThatTheServerReadsLate) {
  late_server late(context);
  link->SetConnectionShare(late.address(), 1);
  exchange_request exchange;
  exchange.id = 7;
  exchange.endpoint = late.address();
  http_request upload(http::verb::post, "/", 11,
                      std::string(kUnreadBytes, 'x'));
  upload.prepare_payload();
  exchange.request = std::make_shared<const http_request>(std::move(upload));
  exchange.deadline = event_loop::Now() + seconds(8);
  exchange.answer_id_header = "Papayakeel-Request-Id";
  std::optional<exchange_result> result;
  link->StartExchange(std::move(exchange), [&result](exchange_result ended) {
    result = std::move(ended);
  });
  const auto run_for = [this, &result](time_span span) {
    return RunUntil(context, span, [&result] { return result.has_value(); });
  };
  context.run_for(milliseconds(10));
  late.Accept();
  CHECK_FALSE(run_for(kLatePause));
  late.ReadAndAnswer(kUnreadBytes,
                     "HTTP/1.1 200 OK\r\nPapayakeel-Request-Id: 7\r\n"
                     "Content-Length: 2\r\n\r\nok");
  CHECK(run_for(seconds(2)));
  CHECK(result->result == attempt_result::kAnswered);
}

// Guards against a malformed response that a caller gets, or that hides the
// response of another exchange.
TEST(server_link, InvalidStatusesAreUnknown) {
  std::string accepted;
  for (const malformed_answer& each :
       MakeInvalidStatuses("Papayakeel-Request-Id: 7\r\n")) {
    if (Exchange({each.bytes, "", {}}).result != attempt_result::kUnknown)
      accepted += each.name + "; ";
  }
  STRCMP_EQUAL("", accepted.c_str());
}

TEST(server_link, MalformedFieldsAreUnknown) {
  std::string accepted;
  for (const malformed_answer& each :
       MakeMalformedFields("Papayakeel-Request-Id: 7\r\n")) {
    if (Exchange({each.bytes, "", {}}).result != attempt_result::kUnknown)
      accepted += each.name + "; ";
  }
  STRCMP_EQUAL("", accepted.c_str());
}

// Guards against an id in the trailer section that proves a response which
// bears none.
TEST(server_link, TrailerFieldsProveNothing) {
  const exchange_result result =
      Exchange({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nok\r\n0\r\nPapayakeel-Request-Id: 7\r\n\r\n",
                "",
                {}});
  CHECK(result.result == attempt_result::kUnknown);
}

// Guards against part of a response that counts as whole because the server
// reset the connection while the upload was being written, and against whole
// responses that are lost with it.
TEST(server_link, EarlyResponsesToAnUpload) {
  const std::string head = "HTTP/1.1 200 OK\r\nPapayakeel-Request-Id: 7\r\n";
  upload_bytes_ = kUnreadBytes;
  for (const std::size_t read_first : {std::size_t{0}, std::size_t{1} << 20}) {
    const auto ends_as = [&](const std::string& bytes, script_end end) {
      return Exchange({bytes, "", {}, end, read_first}).result;
    };
    for (const script_end end :
         {script_end::kReset, script_end::kResetAtOnce}) {
      CHECK(ends_as(head + "\r\npart", end) == attempt_result::kUnknown);
    }
    for (const script_end end :
         {script_end::kReset, script_end::kResetAtOnce, script_end::kHalfClose,
          script_end::kKeepOpen}) {
      CHECK(ends_as(head + "Content-Length: 2\r\n\r\nok", end) ==
            attempt_result::kAnswered);
      CHECK(ends_as(head + "Transfer-Encoding: chunked\r\n\r\n"
                           "2\r\nok\r\n0\r\n\r\n",
                    end) == attempt_result::kAnswered);
    }
  }
}

// Guards against a connection that carries the next request while an upload is
// still being written on it.
TEST(server_link, ConnectionsWithAnUnfinishedUploadAreNotReused) {
  upload_bytes_ = kUnreadBytes;
  const server_script script = {
      "HTTP/1.1 200 OK\r\nPapayakeel-Request-Id: 7\r\n"
      "Content-Length: 2\r\n\r\nok",
      "",
      {}};
  CHECK(Exchange(script).result == attempt_result::kAnswered);
  upload_bytes_ = 0;
  CHECK(ExchangeOnce().result == attempt_result::kAnswered);
  LONGS_EQUAL(2, server->connections());
}

}  // namespace papayakeel
