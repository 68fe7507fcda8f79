// Callers of an entry VM whose endpoint answers an upload before it has read
// all of it, and whose answers are malformed.
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include "tests/modules/support/malformed_answers.h"
#include "tests/modules/support/scripted_server.h"
#include "tests/platform/process/platform_stand_in.h"
#include "tests/process/support/test_client.h"
#include "tests/process/support/test_fleet.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEndpoints = 12;
constexpr int kCallers = 3;
constexpr int kRepeats = 4;
// More than the kernels take of a request that is not read.
constexpr std::size_t kUploadBytes = 8 << 20;
constexpr char kIdHeader[] = "Papayakeel-Request-Id: ";

std::string IdOf(const std::string& header) {
  const std::size_t found = header.find(kIdHeader);
  if (found == std::string::npos)
    return "";
  const std::size_t start = found + sizeof(kIdHeader) - 1;
  return header.substr(start, header.find('\r', start) - start);
}

std::string FieldsOf(const std::string& id) {
  return (id.empty() ? "" : kIdHeader + id + "\r\n") +
         "Papayakeel-Response-Seal: s\r\n"
         "Papayakeel-Server-Load: 0,0,2,100\r\n";
}

struct upload_case {
  std::string name;
  std::string framing;  // What follows the fields of the answer.
  script_end end = script_end::kKeepOpen;
  std::size_t read_first = 0;
  bool is_whole = false;
};

std::vector<upload_case> Uploads() {
  std::vector<upload_case> uploads;
  for (const std::size_t read_first : {std::size_t{0}, std::size_t{1} << 20}) {
    for (const script_end end : {script_end::kReset, script_end::kResetAtOnce,
                                 script_end::kHalfClose}) {
      const bool is_clean = end == script_end::kHalfClose;
      const std::string suffix =
          std::string(is_clean                    ? "-half-close"
                      : end == script_end::kReset ? "-reset"
                                                  : "-reset-with-answer") +
          (read_first > 0 ? "-late" : "-at-once");
      uploads.push_back({"length" + suffix, "Content-Length: 5\r\n\r\nhello",
                         end, read_first, true});
      uploads.push_back(
          {"chunks" + suffix,
           "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", end,
           read_first, true});
      uploads.push_back(
          {"without-length" + suffix, "\r\nhello", end, read_first, is_clean});
    }
  }
  return uploads;
}

}  // namespace

TEST_GROUP(early_answer_path) {
  platform_stand_in site;
  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      context.get_executor()};
  std::vector<upload_case> uploads = Uploads();
  std::vector<malformed_answer> malformed;
  std::atomic<int> fresh_uploads{0};  // Sent on a new connection.
  std::atomic<int> kept_uploads{0};
  scripted_server server{context, [this](std::size_t, std::size_t request,
                                         const std::string& header) {
                           const std::string id = IdOf(header);
                           if (id.rfind("up-", 0) == 0)
                             ++(request > 0 ? kept_uploads : fresh_uploads);
                           return ScriptFor(id);
                         }};
  std::thread thread;

  void setup() override {
    for (auto make : {&MakeInvalidStatuses, &MakeMalformedFields}) {
      for (malformed_answer& each : make(FieldsOf("@")))
        malformed.push_back(std::move(each));
    }
    thread = std::thread([this] { context.run(); });
    site.SetBodyLimit(kUploadBytes);
    site.PutState(3, {"/look/"});
    for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
      site.AddEndpoint(milliseconds(1));
      site.SetPublishedAddress(endpoint, server.address());
    }
    site.AddEntryVm();
    CHECK(WaitUntil([this] { return site.IsReady(0); }));
  }

  void teardown() override {
    boost::asio::post(context, [this] { context.stop(); });
    thread.join();
  }

  // Ids are "up-INDEX-N" and "bad-INDEX-N"; others get a valid answer.
  server_script ScriptFor(const std::string& id) const {
    const std::size_t dash = id.find('-');
    const std::string kind = id.substr(0, dash);
    if (kind == "up") {
      const upload_case& upload = uploads.at(std::stoul(id.substr(dash + 1)));
      return {"HTTP/1.1 200 OK\r\n" + FieldsOf(id) + upload.framing,
              "",
              {},
              upload.end,
              upload.read_first};
    }
    if (kind == "bad") {
      std::string bytes = malformed.at(std::stoul(id.substr(dash + 1))).bytes;
      for (std::size_t at = bytes.find('@'); at != std::string::npos;
           at = bytes.find('@', at + id.size()))
        bytes.replace(at, 1, id);
      return {bytes, "", {}};
    }
    return {
        "HTTP/1.1 200 OK\r\n" + FieldsOf(id) + "Content-Length: 5\r\n\r\nhello",
        "",
        {}};
  }

  std::optional<http_response> Call(const std::string& id,
                                    const std::string& body) {
    return Send(site.CallersOf(0), http::verb::post, "/book/c",
                {{"Host", "a.example"},
                 {"Papayakeel-Request-Id", id},
                 {"Papayakeel-Deadline-Ms", "4000"}},
                body, seconds(6));
  }

  // Calls `check(each)` for each number below `count`, on several threads. A
  // check returns what was wrong, or an empty text.
  std::string RunAll(std::size_t count,
                     const std::function<std::string(std::size_t)>& check) {
    std::vector<std::string> wrong(count);
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&] {
        for (std::size_t each = next++; each < count; each = next++)
          wrong[each] = check(each);
      });
    }
    for (std::thread& caller : callers)
      caller.join();
    std::string all;
    for (const std::string& each : wrong)
      all += each;
    return all;
  }
};

// Guards against part of an answer without a length that reaches the caller of
// an upload as whole, and against whole answers that do not reach it. With
// `is_kept` a call precedes each upload, so that many of them are sent on a
// kept connection.
TEST(early_answer_path, UploadersGetWholeAnswersOrFailures) {
  std::atomic<int> delivered{0};
  std::atomic<int> refused{0};
  const std::string wrong =
      RunAll(uploads.size() * kRepeats, [&](std::size_t number) {
        const std::size_t index = number % uploads.size();
        const upload_case& upload = uploads[index];
        const bool is_kept = number / uploads.size() % 2 == 1;
        // Each endpoint has connections of its own.
        for (std::size_t call = 0; is_kept && call < kEndpoints; ++call) {
          Call("first-" + std::to_string(number) + "-" + std::to_string(call),
               "order");
        }
        const std::optional<http_response> answer =
            Call("up-" + std::to_string(index) + "-" + std::to_string(number),
                 std::string(kUploadBytes, 'x'));
        if (!answer)
          return upload.name + ": no answer; ";
        const unsigned status = answer->result_int();
        // Not sent, so nothing is shown.
        if (status == 503) {
          ++refused;
          return std::string();
        }
        delivered += status == 200 ? 1 : 0;
        const bool is_right = upload.is_whole
                                  ? status == 200 && answer->body() == "hello"
                                  : status == 502;
        return is_right ? std::string()
                        : upload.name + ": " + std::to_string(status) + " '" +
                              answer->body().substr(0, 20) + "'; ";
      });
  STRCMP_EQUAL("", wrong.c_str());
  CHECK(delivered > 0);
  CHECK(fresh_uploads > 0);
  CHECK(kept_uploads > 0);
  CHECK(refused < static_cast<int>(uploads.size() * kRepeats / 4));
}

// Guards against malformed answers that reach the caller.
TEST(early_answer_path, MalformedAnswersAreFailures) {
  std::atomic<int> refused{0};
  const std::string wrong = RunAll(malformed.size(), [&](std::size_t index) {
    const std::string number = std::to_string(index);
    if (index % 2 == 1)
      Call("first-" + number, "order");
    const std::optional<http_response> answer =
        Call("bad-" + number + "-0", "order");
    const unsigned status = answer ? answer->result_int() : 0;
    if (status == 503)
      ++refused;
    return status == 502 || status == 503
               ? std::string()
               : malformed[index].name + ": " + std::to_string(status) + "; ";
  });
  STRCMP_EQUAL("", wrong.c_str());
  CHECK(refused < static_cast<int>(malformed.size() / 4));
}

}  // namespace papayakeel::platform
