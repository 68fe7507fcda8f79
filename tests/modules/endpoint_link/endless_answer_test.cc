// Tests of endpoints whose answers never end, over loopback connections.
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "drivers/event_loop.h"
#include "modules/endpoint_link/endpoint_link.h"
#include "platform/platform_contracts.h"
#include "tests/modules/support/endless_answers.h"
#include "tests/modules/support/scripted_server.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A small VM: all answers may take 1 MiB, one of them half of that.
constexpr std::size_t kMemoryLimit = 8 << 20;
constexpr std::size_t kSingleLimit = 512 << 10;

// What the kernels may hold of the written bytes: the send buffer, and the
// receive buffer, which grows on the loopback.
constexpr std::uint64_t kKernelBytes = 8 << 20;

// Status line, id and proof of an answer to the request "r1".
std::string Start() {
  const header_names names = platform::MakeCallerContract().headers;
  return "HTTP/1.1 200 OK\r\n" + names.request_id + ": r1\r\n" +
         names.answer_proof + ": s\r\n";
}

constexpr int kFaultyEndpoints = 4;
constexpr int kFaultyAnswers = 2;  // Of each of them.
constexpr int kSoundAnswers = 50;

}  // namespace

TEST_GROUP(endless_answer) {
  service_registry registry;
  event_loop* loop = nullptr;
  endpoint_link* link = nullptr;
  std::unique_ptr<scripted_server> server;

  void setup() override {
    registry.Register(std::make_unique<event_loop>());
    registry.Register(std::make_unique<endpoint_link>(
        registry, platform::MakeCallerContract(), kMemoryLimit));
    registry.StartAll();
    loop = registry.Find<event_loop>(event_loop::kName);
    link = registry.Find<endpoint_link>(endpoint_link::kName);
  }

  void teardown() override {
    registry.StopAll();
    server.reset();
  }

  void Serve(const server_script& script) {
    server = std::make_unique<scripted_server>(
        loop->context(), [script](std::size_t, std::size_t,
                                  const std::string&) { return script; });
  }

  static endpoint_exchange MakeExchange(
      const scripted_server& at, const std::string& endpoint_id,
      const std::string& id, time_span timeout) {
    endpoint_exchange exchange;
    exchange.endpoint_id = endpoint_id;
    exchange.address = at.address();
    exchange.header = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    exchange.request_id = id;
    exchange.deadline = event_loop::Now() + timeout;
    return exchange;
  }

  endpoint_result Exchange(const std::string& id, time_span timeout) {
    std::optional<endpoint_result> result;
    link->Begin(
        MakeExchange(*server, "i-1", id, timeout),
        [&result](endpoint_result ended) { result = std::move(ended); });
    while (!result)
      loop->context().run_for(milliseconds(1));
    return std::move(*result);
  }

  void RunUntilClosed() {
    for (int step = 0; step < 2000 && !server->AllAreClosed(); ++step)
      loop->context().run_for(milliseconds(1));
    CHECK(server->AllAreClosed());
  }
};

// Guards against an attempt or a status check that reads an endless answer
// until its deadline, and against the process that ends for want of memory.
TEST(endless_answer, EndsTheAttemptWithinBoundedBytes) {
  for (const endless_answer& each : MakeEndlessAnswers(Start())) {
    for (const char* const id : {"r1", ""}) {
      Serve({each.start, each.endless, {}});
      const endpoint_result result = Exchange(id, seconds(20));
      STRCMP_EQUAL_TEXT("broken", ToString(result.outcome), each.name);
      CHECK_FALSE_TEXT(result.has_timed_out, each.name);
      RunUntilClosed();
      CHECK_TEXT(server->bytes_written() < kSingleLimit + kKernelBytes,
                 each.name);
      LONGS_EQUAL_TEXT(0, link->memory().held(), each.name);
    }
  }
}

// Guards against an endless answer in single bytes that holds more than them.
TEST(endless_answer, SingleBytesEndWithTheDeadline) {
  Serve({Start(), "x", milliseconds(1)});
  const endpoint_result result = Exchange("r1", milliseconds(300));
  STRCMP_EQUAL("broken", ToString(result.outcome));
  CHECK(result.has_timed_out);
  RunUntilClosed();
  LONGS_EQUAL(0, link->memory().held());
}

// Guards against answers that together take more memory than the VM has, and
// against memory that is not given back.
TEST(endless_answer, AnswersShareTheMemory) {
  const std::string body(400 << 10, 'b');
  Serve({Start() + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body,
         "",
         {}});
  endpoint_result first = Exchange("r1", seconds(5));
  endpoint_result second = Exchange("r1", seconds(5));
  STRCMP_EQUAL("answered", ToString(first.outcome));
  STRCMP_EQUAL("answered", ToString(second.outcome));
  LONGS_EQUAL(body.size(), second.response.body().size());
  STRCMP_EQUAL("broken", ToString(Exchange("r1", seconds(5)).outcome));
  first.memory.reset();
  STRCMP_EQUAL("answered", ToString(Exchange("r1", seconds(5)).outcome));
  second.memory.reset();
  LONGS_EQUAL(0, link->memory().held());
}

// Guards against faulty endpoints that take the memory of all others: they
// announce long answers, or send a part of them, and then nothing more. Sound
// answers, which come one after the other, ended as broken until the deadline
// of the faulty ones.
TEST(endless_answer, SoundAnswersArriveBesideFaultyOnes) {
  // 1 KiB below the limit of one answer.
  const std::size_t announced = kSingleLimit - 1024;
  const std::string head =
      Start() + "Content-Length: " + std::to_string(announced) + "\r\n\r\n";
  const std::string body(30000, 'b');
  for (const std::size_t sent : {std::size_t{1}, announced / 2}) {
    server_script stalled;
    stalled.bytes = head + std::string(sent, 'x');
    scripted_server faulty(loop->context(),
                           [&stalled](std::size_t, std::size_t,
                                      const std::string&) { return stalled; });
    Serve({Start() + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body,
           "",
           {}});
    std::vector<endpoint_link::exchange_id> running;
    for (int endpoint = 0; endpoint < kFaultyEndpoints; ++endpoint) {
      for (int answer = 0; answer < kFaultyAnswers; ++answer) {
        running.push_back(
            link->Begin(MakeExchange(faulty, "f-" + std::to_string(endpoint),
                                     "r1", seconds(60)),
                        [](const endpoint_result&) {}));
      }
    }
    loop->context().run_for(milliseconds(300));
    for (int index = 0; index < kSoundAnswers; ++index) {
      const endpoint_result result = Exchange("r1", seconds(5));
      STRCMP_EQUAL("answered", ToString(result.outcome));
      CHECK(result.response.body() == body);
      CHECK(link->memory().held() <= link->memory().total_limit());
    }
    for (const endpoint_link::exchange_id each : running)
      link->Cancel(each);
    loop->context().run_for(milliseconds(20));
    LONGS_EQUAL(0, link->memory().held());
  }
}

}  // namespace papayakeel
