// Exchanges whose endpoint answers while the request is still being written,
// and exchanges with malformed answers, on a fresh and on a kept connection.
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "drivers/event_loop.h"
#include "modules/endpoint_link/endpoint_link.h"
#include "platform/platform_contracts.h"
#include "tests/modules/support/malformed_answers.h"
#include "tests/modules/support/scripted_server.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// More than the kernels take of a request that is not read.
constexpr std::size_t kUploadBytes = 8 << 20;
constexpr std::size_t kReadBytes = 1 << 20;
// The order in which a reset is noticed by the write and by the read varies.
constexpr int kRepeats = 20;

const header_names& Names() {
  static const caller_contract kContract = platform::MakeCallerContract();
  return kContract.headers;
}

std::string ProofOf(const std::string& id) {
  return Names().request_id + ": " + id + "\r\n" + Names().answer_proof +
         ": s\r\n";
}

std::string HeadOf(const std::string& id) {
  return "HTTP/1.1 200 OK\r\n" + ProofOf(id);
}

std::string WithLength(const std::string& id) {
  return HeadOf(id) + "Content-Length: 5\r\n\r\nhello";
}

std::string Chunked(const std::string& id) {
  return HeadOf(id) +
         "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
}

std::string WithoutLength(const std::string& id) {
  return HeadOf(id) + "\r\nhello";
}

}  // namespace

TEST_GROUP(early_answer) {
  service_registry registry;
  event_loop* loop = nullptr;
  endpoint_link* link = nullptr;
  std::unique_ptr<scripted_server> server;
  server_script next;  // For requests other than "first".

  void setup() override {
    registry.Register(std::make_unique<event_loop>());
    registry.Register(std::make_unique<endpoint_link>(
        registry, platform::MakeCallerContract(), 256 << 20));
    registry.StartAll();
    loop = registry.Find<event_loop>(event_loop::kName);
    link = registry.Find<endpoint_link>(endpoint_link::kName);
    Serve();
  }

  void teardown() override {
    registry.StopAll();
    server.reset();
  }

  void Serve() {
    server = std::make_unique<scripted_server>(
        loop->context(),
        [this](std::size_t, std::size_t, const std::string& header) {
          if (header.find(": first\r\n") != std::string::npos)
            return server_script{WithLength("first"), "", {}};
          return next;
        });
  }

  endpoint_result Exchange(const std::string& id, std::size_t body_bytes) {
    endpoint_exchange exchange;
    exchange.endpoint_id = "i-1";
    exchange.address = server->address();
    exchange.header =
        "POST / HTTP/1.1\r\nHost: a\r\n" + Names().request_id + ": " + id +
        "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
    exchange.body = std::make_shared<const std::string>(body_bytes, 'x');
    exchange.request_id = id;
    exchange.deadline = event_loop::Now() + seconds(5);
    std::optional<endpoint_result> result;
    link->Begin(std::move(exchange), [&result](endpoint_result ended) {
      result = std::move(ended);
    });
    while (!result)
      loop->context().run_for(milliseconds(1));
    return std::move(*result);
  }

  // Runs an exchange on a kept connection, or on a fresh one.
  endpoint_result ExchangeOn(bool is_kept, std::size_t body_bytes) {
    if (is_kept)
      Exchange("first", 0);
    endpoint_result result = Exchange("r1", body_bytes);
    CHECK(result.was_reused == is_kept);
    // Leaves no kept connection to the next exchange.
    Serve();
    return result;
  }

  // Uploads, and names the outcome and body of each answer that differs from
  // the expected one.
  std::string Unexpected(const std::string& answer, script_end end,
                         bool is_whole) {
    std::string unexpected;
    for (int repeat = 0; repeat < kRepeats; ++repeat) {
      for (const std::size_t read_first : {std::size_t{0}, kReadBytes}) {
        for (const bool is_kept : {false, true}) {
          next = {answer, "", {}, end, read_first};
          const endpoint_result result = ExchangeOn(is_kept, kUploadBytes);
          const bool is_answered =
              result.outcome == attempt_outcome::kAnswered &&
              result.response.body() == "hello";
          const bool is_broken = result.outcome == attempt_outcome::kBroken &&
                                 result.response.body().empty();
          if (!(is_whole ? is_answered : is_broken)) {
            unexpected += std::string(ToString(result.outcome)) + " '" +
                          result.response.body() + "' " + result.detail +
                          " read=" + std::to_string(read_first) +
                          " kept=" + std::to_string(is_kept) + "; ";
          }
        }
      }
    }
    return unexpected;
  }

  std::string Accepted(const std::vector<malformed_answer>& answers) {
    std::string accepted;
    for (const malformed_answer& each : answers) {
      for (const bool is_kept : {false, true}) {
        next = {each.bytes, "", {}};
        const endpoint_result result = ExchangeOn(is_kept, 0);
        if (result.outcome != attempt_outcome::kBroken ||
            !result.response.body().empty() || result.detail.empty())
          accepted += each.name + "; ";
      }
    }
    return accepted;
  }
};

// Guards against part of a response without a length that reaches the caller as
// whole because the endpoint reset the connection during the upload.
TEST(early_answer, ResetEndsNoBody) {
  for (const script_end end : {script_end::kReset, script_end::kResetAtOnce})
    STRCMP_EQUAL("", Unexpected(WithoutLength("r1"), end, false).c_str());
}

// Guards against a whole response without a length that is dropped because the
// endpoint did not read the upload before it ended its output.
TEST(early_answer, CleanCloseEndsABody) {
  STRCMP_EQUAL(
      "",
      Unexpected(WithoutLength("r1"), script_end::kHalfClose, true).c_str());
}

// Guards against a whole response that is dropped with its connection.
TEST(early_answer, WholeAnswersAreDelivered) {
  for (const std::string& answer : {WithLength("r1"), Chunked("r1")}) {
    for (const script_end end : {script_end::kReset, script_end::kResetAtOnce,
                                 script_end::kHalfClose, script_end::kKeepOpen})
      STRCMP_EQUAL("", Unexpected(answer, end, true).c_str());
  }
}

// Guards against cut responses with a length or in chunks.
TEST(early_answer, CutAnswersAreBroken) {
  const std::string with_length = WithLength("r1");
  const std::string chunked = Chunked("r1");
  for (const script_end end :
       {script_end::kReset, script_end::kResetAtOnce, script_end::kHalfClose}) {
    for (const std::string& cut :
         {with_length.substr(0, with_length.size() - 1),
          chunked.substr(0, chunked.size() - 1)})
      STRCMP_EQUAL("", Unexpected(cut, end, false).c_str());
  }
}

// Guards against a status that does not exist and reaches the caller, or is
// skipped like an interim one.
TEST(early_answer, InvalidStatusesAreBroken) {
  STRCMP_EQUAL("", Accepted(MakeInvalidStatuses(ProofOf("r1"))).c_str());
}

// Guards against malformed lines that reach the caller.
TEST(early_answer, MalformedFieldsAreBroken) {
  STRCMP_EQUAL("", Accepted(MakeMalformedFields(ProofOf("r1"))).c_str());
}

// Guards against trailer fields that prove a response, or refuse its request.
TEST(early_answer, TrailerFieldsProveNothing) {
  const std::string chunks =
      "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
  next = {"HTTP/1.1 200 OK\r\n" + chunks + ProofOf("r1") + "\r\n", "", {}};
  STRCMP_EQUAL("broken", ToString(ExchangeOn(false, 0).outcome));
  next = {HeadOf("r1") + chunks + Names().not_run + ": 1\r\n\r\n", "", {}};
  STRCMP_EQUAL("answered", ToString(ExchangeOn(false, 0).outcome));
}

}  // namespace papayakeel
