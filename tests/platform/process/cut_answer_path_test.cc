// Callers of an entry VM whose endpoint breaks off its answers at every byte.
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include "tests/modules/support/scripted_server.h"
#include "tests/platform/process/platform_stand_in.h"
#include "tests/process/support/test_client.h"
#include "tests/process/support/test_fleet.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEndpoints = 40;
constexpr int kCallers = 16;
constexpr char kIdHeader[] = "Papayakeel-Request-Id: ";

std::string ValueOf(const std::string& head, const std::string& name) {
  const std::size_t found = head.find(name);
  if (found == std::string::npos)
    return "";
  const std::size_t start = found + name.size();
  return head.substr(start, head.find('\r', start) - start);
}

std::string Answer(const std::string& id, bool is_chunked) {
  const std::string id_line =
      id.empty() ? "" : std::string(kIdHeader) + id + "\r\n";
  const std::string head = "HTTP/1.1 200 OK\r\n" + id_line +
                           "Papayakeel-Response-Seal: s\r\n"
                           "Papayakeel-Server-Load: 0,0,2,100\r\n";
  return is_chunked ? head +
                          "Transfer-Encoding: chunked\r\n\r\n"
                          "5\r\nhello\r\n0\r\n\r\n"
                    : head + "Content-Length: 5\r\n\r\nhello";
}

std::string Booking(const std::string& id, bool is_last) {
  return "POST /book/c HTTP/1.1\r\nHost: a.example\r\n" +
         std::string(kIdHeader) + id +
         "\r\nPapayakeel-Deadline-Ms: 4000\r\nContent-Length: 5\r\n" +
         (is_last ? "Connection: close\r\n" : "") + "\r\norder";
}

struct caller_answer {
  std::string id;
  int status = 0;
  std::string body;
};

// Splits what came back on one connection; an answer that is not whole ends it.
std::vector<caller_answer> Split(std::string received) {
  std::vector<caller_answer> answers;
  while (true) {
    const std::size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos)
      return answers;
    const std::string head = received.substr(0, end + 2);
    const std::size_t length =
        std::stoul("0" + ValueOf(head, "Content-Length: "));
    if (received.size() < end + 4 + length)
      return answers;
    answers.push_back({ValueOf(head, kIdHeader), std::stoi(head.substr(9, 3)),
                       received.substr(end + 4, length)});
    received.erase(0, end + 4 + length);
  }
}

}  // namespace

TEST_GROUP(cut_answer_path) {
  platform_stand_in site;
  boost::asio::io_context context;
};

// Guards against an answer that ended early and reaches its caller as whole,
// and against one that reaches the request behind it on the connection.
TEST(cut_answer_path, CallersSeeWholeAnswersOrFailures) {
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work(
      context.get_executor());
  scripted_server server(
      context, [](std::size_t, std::size_t, const std::string& header) {
        const std::string id = ValueOf(header, kIdHeader);
        const std::string answer = Answer(id, id.find("chunks") == 0);
        const std::size_t cut = id.find("-cut-");
        if (cut == std::string::npos)
          return server_script{answer, "", {}};
        return server_script{answer.substr(0, std::stoul(id.substr(cut + 5))),
                             "",
                             {},
                             id.find("reset") == std::string::npos
                                 ? script_end::kClose
                                 : script_end::kReset};
      });
  std::thread thread([this] { context.run(); });
  site.PutState(3, {"/look/"});
  for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
    site.AddEndpoint(milliseconds(1));
    site.SetPublishedAddress(endpoint, server.address());
  }
  site.AddEntryVm();
  CHECK(WaitUntil([&] { return site.IsReady(0); }));
  std::vector<std::string> names;  // Of one exchange each.
  for (const char* const name :
       {"length-close", "length-reset", "chunks-close", "chunks-reset"}) {
    const std::string prefix = name;
    const std::size_t length =
        Answer(prefix + "-cut-000", prefix.find("chunks") == 0).size();
    for (std::size_t cut = 0; cut < length; ++cut)
      names.push_back(prefix + "-cut-" + std::to_string(1000 + cut).substr(1));
  }
  std::vector<std::vector<caller_answer>> answers(names.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&] {
      for (std::size_t each = next++; each < names.size(); each = next++) {
        answers[each] =
            Split(SendRaw(site.CallersOf(0),
                          Booking(names[each], false) +
                              Booking("behind-" + std::to_string(each), true),
                          seconds(5)));
      }
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  boost::asio::post(context, [this] { context.stop(); });
  thread.join();
  std::size_t cut_answers = 0;
  std::size_t whole_answers = 0;
  for (std::size_t each = 0; each < names.size(); ++each) {
    LONGS_EQUAL(2, answers[each].size());
    const caller_answer& cut = answers[each][0];
    const caller_answer& behind = answers[each][1];
    STRCMP_EQUAL(names[each].c_str(), cut.id.c_str());
    CHECK_TRUE_TEXT(cut.status >= 500, names[each].c_str());
    cut_answers += cut.status == 502 ? 1 : 0;
    CHECK(behind.id.find("behind-") == 0);
    if (behind.status == 200) {
      ++whole_answers;
      STRCMP_EQUAL("hello", behind.body.c_str());
    }
  }
  // Refusals are allowed, but prove nothing about cut answers.
  CHECK(cut_answers > names.size() / 2);
  CHECK(whole_answers > names.size() / 2);
}

}  // namespace papayakeel::platform
