// Tests of exchanges with faulty endpoints, over loopback connections.
#include "modules/endpoint_link/endpoint_link.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "drivers/event_loop.h"
#include "platform/platform_contracts.h"
#include "tests/modules/support/scripted_server.h"
#include "tests/modules/support/throttled_link.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kLinkBytesPerSecond = 1'250'000;  // 10 Mbit/s.
constexpr std::size_t kBodyBytes = 90'000;

const header_names& Names() {
  static const caller_contract kContract = platform::MakeCallerContract();
  return kContract.headers;
}

std::string RefusalStart() {
  return "HTTP/1.1 503 Service Unavailable\r\n" + Names().not_run + ": 1\r\n";
}

// The endpoint's refusal of the request `id`; empty: without an id.
std::string Refusal(const std::string& id) {
  const std::string id_line =
      id.empty() ? "" : Names().request_id + ": " + id + "\r\n";
  return RefusalStart() + id_line + "Content-Length: 0\r\n\r\n";
}

std::string Answer(const std::string& id) {
  return "HTTP/1.1 200 OK\r\n" + Names().request_id + ": " + id + "\r\n" +
         Names().answer_proof + ": s\r\nContent-Length: 2\r\n\r\nok";
}

std::string IdOf(const std::string& header) {
  const std::string name = Names().request_id + ": ";
  const std::size_t found = header.find(name);
  if (found == std::string::npos)
    return "";
  const std::size_t start = found + name.size();
  return header.substr(start, header.find('\r', start) - start);
}

}  // namespace

TEST_GROUP(endpoint_link) {
  service_registry registry;
  event_loop* loop = nullptr;
  endpoint_link* link = nullptr;
  std::unique_ptr<scripted_server> server;
  // The name of the outcome, for messages of failed checks.
  std::string last_outcome;

  void setup() override {
    registry.Register(std::make_unique<event_loop>());
    registry.Register(std::make_unique<endpoint_link>(
        registry, platform::MakeCallerContract(), 256 << 20));
    registry.StartAll();
    loop = registry.Find<event_loop>(event_loop::kName);
    link = registry.Find<endpoint_link>(endpoint_link::kName);
  }

  void teardown() override {
    registry.StopAll();
    server.reset();
  }

  void Serve(script_function script) {
    server =
        std::make_unique<scripted_server>(loop->context(), std::move(script));
  }

  endpoint_exchange MakeExchange(const std::string& id) {
    endpoint_exchange exchange;
    exchange.endpoint_id = "i-1";
    exchange.address = server->address();
    exchange.header = "GET / HTTP/1.1\r\nHost: a\r\n";
    if (!id.empty())
      exchange.header += "Papayakeel-Request-Id: " + id + "\r\n";
    exchange.header += "\r\n";
    exchange.request_id = id;
    exchange.deadline = event_loop::Now() + seconds(2);
    return exchange;
  }

  // Sends a request with this id, or a status check without one, and waits for
  // the result.
  endpoint_result Exchange(const std::string& id) {
    std::optional<endpoint_result> result;
    link->Begin(MakeExchange(id), [&result](endpoint_result ended) {
      result = std::move(ended);
    });
    while (!result)
      loop->context().run_for(milliseconds(1));
    last_outcome = ToString(result->outcome);
    return std::move(*result);
  }

  std::string OutcomeOf(const std::string& id) {
    Exchange(id);
    return last_outcome;
  }
};

// Guards against the repeated refusal of a request's first attempt that is
// taken for the answer to its second attempt at the same endpoint.
TEST(endpoint_link, RepeatedRefusalIsNotTheAnswerToARetry) {
  Serve([](std::size_t connection, std::size_t request,
           const std::string& header) {
    const std::string id = IdOf(header);
    if (connection == 0 && request == 0)
      return server_script{Refusal(id), "", {}};
    const std::string repeated = request == 0 ? "" : Refusal("r1");
    return server_script{repeated + Answer(id), "", {}};
  });
  STRCMP_EQUAL("rejected", OutcomeOf("r1").c_str());
  STRCMP_EQUAL("answered", OutcomeOf("r1").c_str());
  LONGS_EQUAL(2, server->connections());
  // The kept connections go to other requests.
  STRCMP_EQUAL("answered", OutcomeOf("r2").c_str());
  LONGS_EQUAL(2, server->connections());
}

// Guards against a refusal without an id that is written once more and taken
// for the answer to the next request on its connection.
TEST(endpoint_link, RepeatedRefusalWithoutIdIsNotBelieved) {
  Serve([](std::size_t, std::size_t request, const std::string& header) {
    return server_script{
        request == 0 ? Refusal("") : Refusal("") + Answer(IdOf(header)),
        "",
        {}};
  });
  for (const char* const refused : {"", "r1"}) {
    Exchange(refused);
    const std::string outcome = OutcomeOf("r2");
    // "rejected" is true only as the first answer on a connection of its own.
    const bool is_first = server->connections() == server->requests();
    CHECK_TEXT(outcome != "rejected" || is_first, outcome.c_str());
  }
}

// Guards against a refusal without an id that arrives on a kept connection
// before the answer to the request.
TEST(endpoint_link, RefusalWithoutIdOnAKeptConnectionIsNotBelieved) {
  Serve([](std::size_t, std::size_t request, const std::string& header) {
    const std::string answer = Answer(IdOf(header));
    return server_script{request == 0 ? answer : Refusal("") + answer, "", {}};
  });
  STRCMP_EQUAL("answered", OutcomeOf("r1").c_str());
  STRCMP_EQUAL("broken", OutcomeOf("r2").c_str());
  STRCMP_EQUAL("answered", OutcomeOf("r3").c_str());
}

// Guards against the answer to a request that is believed as the answer to a
// status check, which leaves the check's own answer to the next request.
TEST(endpoint_link, AnswerWithAnIdIsNotThatOfAStatusCheck) {
  Serve([](std::size_t, std::size_t request, const std::string& header) {
    if (request == 1) {
      return server_script{Answer("r1") + "HTTP/1.1 200 OK\r\n" +
                               Names().endpoint_load +
                               ": 1,0,8\r\nContent-Length: 0\r\n\r\n",
                           "",
                           {}};
    }
    return server_script{Answer(IdOf(header)), "", {}};
  });
  STRCMP_EQUAL("answered", OutcomeOf("r1").c_str());
  const endpoint_result check = Exchange("");
  CHECK(check.load.has_value());
  STRCMP_EQUAL("answered", OutcomeOf("r2").c_str());
  LONGS_EQUAL(1, server->connections());
}

// Guards against the head of a refusal that broke off and that lends its
// "not run" to the answer behind it.
TEST(endpoint_link, BrokenOffRefusalIsNotJoinedToTheAnswer) {
  Serve([](std::size_t, std::size_t request, const std::string& header) {
    const std::string answer = Answer(IdOf(header));
    return server_script{
        request == 0 ? answer : RefusalStart() + "X-Cut: " + answer, "", {}};
  });
  STRCMP_EQUAL("answered", OutcomeOf("r1").c_str());
  STRCMP_EQUAL("broken", OutcomeOf("r2").c_str());
}

// Guards against a refusal that broke off and counts as whole.
TEST(endpoint_link, RefusalWithoutItsWholeBodyIsBroken) {
  Serve([](std::size_t, std::size_t, const std::string& header) {
    return server_script{RefusalStart() + "Papayakeel-Request-Id: " +
                             IdOf(header) + "\r\nContent-Length: 9\r\n\r\ncut",
                         "",
                         {}};
  });
  endpoint_exchange exchange = MakeExchange("r1");
  exchange.deadline = event_loop::Now() + milliseconds(200);
  std::optional<endpoint_result> result;
  link->Begin(std::move(exchange),
              [&result](endpoint_result ended) { result = std::move(ended); });
  while (!result)
    loop->context().run_for(milliseconds(1));
  STRCMP_EQUAL("broken", ToString(result->outcome));
}

// Guards against a new connection for each refusal under overload, which costs
// the endpoint about 1 ms.
TEST(endpoint_link, RefusalsWithTheirIdKeepTheConnection) {
  Serve([](std::size_t, std::size_t, const std::string& header) {
    return server_script{Refusal(IdOf(header)), "", {}};
  });
  for (int number = 0; number < 60; ++number) {
    STRCMP_EQUAL("rejected", OutcomeOf("r" + std::to_string(number)).c_str());
  }
  LONGS_EQUAL(1, server->connections());
  for (int number = 60; number < 200; ++number)
    OutcomeOf("r" + std::to_string(number));
  // Few enough, though what a connection remembers is bounded.
  LONGS_EQUAL(4, server->connections());
}

// Guards against an announced leaving that nobody hears, because the answer is
// a refusal, a status check or the late answer to another request, and against
// other values and other endpoints' words that are taken for one.
TEST(endpoint_link, HearsThatAnEndpointLeaves) {
  struct announcement {
    const char* name;
    std::string request_id;
    std::string bytes;
    bool is_heard;
  };
  const std::string leaving = Names().endpoint_leaving + ": 1\r\n";
  const auto add = [](const std::string& answer, const std::string& lines) {
    const std::size_t end = answer.find("\r\n") + 2;
    return answer.substr(0, end) + lines + answer.substr(end);
  };
  const std::string check = "HTTP/1.1 503 Draining\r\n" + Names().endpoint_id;
  const std::string end = "\r\nContent-Length: 0\r\n\r\n";
  const std::vector<announcement> announcements = {
      {"answer", "r1", add(Answer("r1"), leaving), true},
      {"refusal", "r1", add(Refusal("r1"), leaving), true},
      {"status check", "", add(check + ": i-1" + end, leaving), true},
      {"check of another", "", add(check + ": i-2" + end, leaving), false},
      {"late answer", "r1", add(Answer("r0"), leaving) + Answer("r1"), true},
      {"several", "r1",
       add(Answer("r1"), Names().endpoint_leaving + ": 0\r\n" + leaving), true},
      {"misdirected", "r1",
       "HTTP/1.1 421 Misdirected\r\n" + leaving + Names().not_run + ": 1\r\n" +
           Names().request_id + ": r1" + end,
       false},
      {"zero", "r1", add(Answer("r1"), Names().endpoint_leaving + ": 0\r\n"),
       false},
      {"empty", "r1", add(Answer("r1"), Names().endpoint_leaving + ":\r\n"),
       false},
      {"text", "r1", add(Answer("r1"), Names().endpoint_leaving + ": yes\r\n"),
       false},
      {"none", "r1", Answer("r1"), false},
  };
  for (const announcement& each : announcements) {
    int heard = 0;
    link->SetLeavingHook([&heard](const endpoint_exchange& exchange) {
      STRCMP_EQUAL("i-1", exchange.endpoint_id.c_str());
      ++heard;
    });
    Serve([&each](std::size_t, std::size_t, const std::string&) {
      return server_script{each.bytes, "", {}};
    });
    Exchange(each.request_id);
    LONGS_EQUAL_TEXT(each.is_heard ? 1 : 0, heard, each.name);
  }
}

// Guards against a status check that does not tell how long its endpoint stays
// cold, and against an unreadable time that is taken for one.
TEST(endpoint_link, ReadsHowLongAnEndpointStaysCold) {
  std::string value;
  Serve([&value](std::size_t, std::size_t, const std::string&) {
    const std::string line =
        value.empty() ? "" : Names().endpoint_warm_up + ": " + value + "\r\n";
    return server_script{"HTTP/1.1 200 OK\r\n" + Names().endpoint_load +
                             ": 1,0,8\r\n" + line + "Content-Length: 0\r\n\r\n",
                         "",
                         {}};
  });
  for (const char* unreadable :
       {"", "2s", "-1", "1.5", "99999999999999999999"}) {
    value = unreadable;
    const endpoint_result check = Exchange("");
    CHECK(check.load.has_value());
    CHECK_FALSE(check.load->warm_up_left.has_value());
  }
  value = "0";
  CHECK(Exchange("").load->warm_up_left == time_span(0));
  value = "2750";
  CHECK(Exchange("").load->warm_up_left == milliseconds(2750));
}

// Guards against a request that is written on a connection which took so long
// to open that the endpoint has left meanwhile.
TEST(endpoint_link, AsksAgainBeforeItWritesOnANewConnection) {
  Serve([](std::size_t, std::size_t, const std::string& header) {
    return server_script{Answer(IdOf(header)), "", {}};
  });
  endpoint_exchange exchange = MakeExchange("r1");
  exchange.may_send = [] { return false; };
  std::optional<endpoint_result> result;
  link->Begin(std::move(exchange),
              [&result](endpoint_result ended) { result = std::move(ended); });
  while (!result)
    loop->context().run_for(milliseconds(1));
  STRCMP_EQUAL("not_sent", ToString(result->outcome));
  loop->context().run_for(milliseconds(20));
  LONGS_EQUAL(0, server->requests());
}

// Guards against the time of the transfer that passes for work of the endpoint:
// over 10 Mbit/s, 90 KB take 72 ms after the work has ended.
TEST(endpoint_link, TellsTheTransferFromTheWork) {
  Serve([](std::size_t, std::size_t request, const std::string& header) {
    const std::string head = "HTTP/1.1 200 OK\r\n" + Names().request_id + ": " +
                             IdOf(header) + "\r\n" + Names().answer_proof +
                             ": s\r\nContent-Length: ";
    const std::size_t size = request == 0 ? kBodyBytes : 0;
    return server_script{
        head + std::to_string(size) + "\r\n\r\n" + std::string(size, 'b'),
        "",
        {}};
  });
  throttled_link slow(loop->context(), {"127.0.0.1", 0}, server->address(),
                      kLinkBytesPerSecond);
  std::vector<answer_transfer> notified;
  const auto run = [&](const std::string& id) {
    endpoint_exchange exchange = MakeExchange(id);
    exchange.address = slow.address();
    exchange.on_transfer = [&notified](const answer_transfer& so_far) {
      notified.push_back(so_far);
    };
    std::optional<endpoint_result> result;
    link->Begin(std::move(exchange), [&result](endpoint_result ended) {
      result = std::move(ended);
    });
    while (!result)
      loop->context().run_for(milliseconds(1));
    CHECK(result->outcome == attempt_outcome::kAnswered);
    return std::move(*result);
  };
  const endpoint_result large = run("r1");
  LONGS_EQUAL(kBodyBytes, large.transfer->bytes);
  CHECK(large.transfer->elapsed >= milliseconds(50));
  LONGS_EQUAL(1, notified.size());
  CHECK(notified[0].elapsed <= large.transfer->elapsed);
  LONGS_EQUAL(kBodyBytes, notified[0].bytes);
  // Responses without a body say nothing about the size of others.
  CHECK_FALSE(run("r2").transfer.has_value());
  LONGS_EQUAL(1, notified.size());
}

}  // namespace papayakeel
