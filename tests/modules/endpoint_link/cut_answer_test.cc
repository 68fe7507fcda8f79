// Exchanges whose answers break off at every byte: by an end, a reset or the
// silence of the connection, on a fresh and on a kept connection.
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "drivers/event_loop.h"
#include "modules/endpoint_link/endpoint_link.h"
#include "modules/http/http_fetch.h"
#include "platform/platform_contracts.h"
#include "tests/modules/support/scripted_server.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const header_names& Names() {
  static const caller_contract kContract = platform::MakeCallerContract();
  return kContract.headers;
}

// Whole answers to the request `id`, one for each way to frame a body.
std::vector<std::string> Answers(const std::string& id) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + Names().request_id + ": " +
                           id + "\r\n" + Names().answer_proof + ": s\r\n";
  return {head + "Content-Length: 5\r\n\r\nhello",
          head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
          head + "Connection: close\r\n\r\nhello"};
}

bool IsFramedByClose(const std::string& answer) {
  return answer.find("Connection: close") != std::string::npos;
}

}  // namespace

TEST_GROUP(cut_answer) {
  service_registry registry;
  event_loop* loop = nullptr;
  endpoint_link* link = nullptr;
  std::unique_ptr<scripted_server> server;
  server_script next;  // For the request "cut".

  void setup() override {
    registry.Register(std::make_unique<event_loop>());
    registry.Register(std::make_unique<endpoint_link>(
        registry, platform::MakeCallerContract(), 256 << 20));
    registry.StartAll();
    loop = registry.Find<event_loop>(event_loop::kName);
    link = registry.Find<endpoint_link>(endpoint_link::kName);
    server = std::make_unique<scripted_server>(
        loop->context(),
        [this](std::size_t, std::size_t, const std::string& header) {
          if (header.find(": cut\r\n") != std::string::npos)
            return next;
          return server_script{Answers("whole").front(), "", {}};
        });
  }

  void teardown() override {
    registry.StopAll();
    server.reset();
  }

  endpoint_result Exchange(const std::string& id, time_span limit) {
    endpoint_exchange exchange;
    exchange.endpoint_id = "i-1";
    exchange.address = server->address();
    exchange.header = "GET / HTTP/1.1\r\nHost: a\r\n" + Names().request_id +
                      ": " + id + "\r\n\r\n";
    exchange.request_id = id;
    exchange.deadline = event_loop::Now() + limit;
    std::optional<endpoint_result> result;
    link->Begin(std::move(exchange), [&result](endpoint_result ended) {
      result = std::move(ended);
    });
    while (!result)
      loop->context().run_for(milliseconds(1));
    return std::move(*result);
  }

  // The exchange fails, and the next one gets its own whole answer.
  void CheckCut(const std::string& answer, std::size_t cut, script_end end,
                bool on_kept_connection) {
    const std::string text =
        "cut after " + std::to_string(cut) + " of " + answer;
    if (on_kept_connection)
      Exchange("whole", seconds(2));
    next = {answer.substr(0, cut), "", {}, end};
    const bool is_silent = end == script_end::kKeepOpen;
    const endpoint_result result =
        Exchange("cut", is_silent ? time_span(milliseconds(4)) : seconds(2));
    const std::size_t head_end = answer.find("\r\n\r\n") + 4;
    const bool is_unseen =
        IsFramedByClose(answer) && cut >= head_end && end == script_end::kClose;
    if (!is_unseen) {
      CHECK_TRUE_TEXT(
          result.outcome == attempt_outcome::kBroken ||
              (is_silent && result.outcome == attempt_outcome::kUnreachable),
          text.c_str());
      CHECK_TRUE_TEXT(result.response.body().empty(), text.c_str());
    }
    const endpoint_result following = Exchange("whole", seconds(2));
    CHECK_TRUE_TEXT(following.outcome == attempt_outcome::kAnswered,
                    text.c_str());
    STRCMP_EQUAL("hello", following.response.body().c_str());
    STRCMP_EQUAL("whole",
                 std::string(following.response[Names().request_id]).c_str());
  }

  void CheckAllCuts(script_end end) {
    for (const std::string& answer : Answers("cut")) {
      for (std::size_t cut = 0; cut < answer.size(); ++cut) {
        CheckCut(answer, cut, end, false);
        CheckCut(answer, cut, end, true);
      }
    }
  }
};

// Guards against an answer that ends early and reaches the caller as whole.
TEST(cut_answer, EndedAnswersAreBroken) {
  CheckAllCuts(script_end::kClose);
}

TEST(cut_answer, ResetAnswersAreBroken) {
  CheckAllCuts(script_end::kReset);
}

TEST(cut_answer, SilentAnswersAreBroken) {
  CheckAllCuts(script_end::kKeepOpen);
}

// Guards against a cut answer of the store or of a relay that is taken for a
// whole one.
TEST(cut_answer, CutAnswersToFetchesAreBroken) {
  for (const script_end end : {script_end::kClose, script_end::kReset}) {
    for (const std::string& answer : Answers("cut")) {
      for (std::size_t cut = 0; cut < answer.size(); ++cut) {
        const std::size_t head_end = answer.find("\r\n\r\n") + 4;
        if (IsFramedByClose(answer) && cut >= head_end)
          continue;
        next = {answer.substr(0, cut), "", {}, end};
        fetch_request fetch;
        fetch.server = server->address();
        fetch.timeout = seconds(2);
        fetch.request = http_request(http::verb::get, "/", 11);
        fetch.request.set(Names().request_id, "cut");
        std::optional<tl::expected<http_response, fetch_error_code>> result;
        Fetch(loop->context(), std::move(fetch),
              [&result](tl::expected<http_response, fetch_error_code> ended) {
                result = std::move(ended);
              });
        while (!result)
          loop->context().run_for(milliseconds(1));
        CHECK_TRUE_TEXT(!result->has_value(), answer.substr(0, cut).c_str());
      }
    }
  }
}

}  // namespace papayakeel
