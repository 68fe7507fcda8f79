// Callers of a small entry VM, some of whose endpoints send bytes without end
// or long answers that stop midway.
#include <atomic>
#include <cstdio>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>

#include "tests/modules/support/scripted_server.h"
#include "tests/platform/process/platform_stand_in.h"
#include "tests/process/support/test_client.h"
#include "tests/process/support/test_fleet.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kSoundEndpoints = 8;
constexpr std::size_t kFaultyEndpoints = 6;
constexpr int kCallers = 16;
constexpr seconds kLength{5};
constexpr milliseconds kCallerLimit{4000};
constexpr std::size_t kAnswerBytes = 30000;
constexpr int kMemoryMegabytes = 64;
// The limit of one answer is a sixteenth of that of the VM.
constexpr std::size_t kSingleLimit =
    static_cast<std::size_t>(kMemoryMegabytes) * 1024 * 1024 / 16;

// What a faulty endpoint sends, by the number of its connection.
server_script MakeFaultyAnswer(std::size_t connection) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string announced =
      head + "Content-Length: " + std::to_string(kSingleLimit - 1000) +
      "\r\n\r\n";
  const std::string block(16 * 1024, 'x');
  switch (connection % 4) {
    case 0:
      return {announced + "x", "", {}};
    case 1:
      return {announced + std::string(kSingleLimit / 2, 'x'), "", {}};
    case 2:
      return {head + "Transfer-Encoding: chunked\r\n\r\n",
              "4000\r\n" + block + "\r\n",
              {}};
    default:
      return {head, "X-Filler: " + block + "\r\n", {}};
  }
}

// The most memory that the process has used, in MB.
int PeakMegabytes(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string word; status >> word;) {
    int kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes)
      return kilobytes / 1024;
  }
  return 0;
}

struct caller_result {
  std::string id;
  int status = 0;
  std::size_t bytes = 0;
  time_span elapsed{0};
};

}  // namespace

TEST_GROUP(endless_answer_path) {
  platform_stand_in site;
  boost::asio::io_context context;
  std::mutex mutex;
  std::vector<caller_result> results;

  void Call(const std::string& id, bool is_once_only) {
    const monotonic_time sent_at = std::chrono::steady_clock::now();
    const std::optional<http_response> answer = Send(
        site.CallersOf(0), is_once_only ? http::verb::post : http::verb::get,
        is_once_only ? "/book/e" : "/look/e",
        {{"Host", "a.example"},
         {"Papayakeel-Request-Id", id},
         {"Papayakeel-Deadline-Ms", std::to_string(kCallerLimit.count())}},
        "", kCallerLimit + seconds(1));
    const time_span elapsed = std::chrono::steady_clock::now() - sent_at;
    const std::lock_guard<std::mutex> lock(mutex);
    results.push_back({id, answer ? static_cast<int>(answer->result_int()) : 0,
                       answer ? answer->body().size() : 0, elapsed});
  }
};

// Guards against faulty endpoints that use up the memory of a VM, so that it
// ends or drops the answers of sound endpoints.
TEST(endless_answer_path, SoundAnswersArriveAndTheProcessKeepsItsLimit) {
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work(
      context.get_executor());
  scripted_server faulty(
      context, [](std::size_t connection, std::size_t, const std::string&) {
        return MakeFaultyAnswer(connection);
      });
  std::thread thread([this] { context.run(); });
  site.PutState(3, {"/look/"});
  for (std::size_t index = 0; index < kSoundEndpoints; ++index)
    site.SetAnswerSize(site.AddEndpoint(milliseconds(5)), kAnswerBytes);
  for (std::size_t index = 0; index < kFaultyEndpoints; ++index) {
    site.SetPublishedAddress(site.AddEndpoint(milliseconds(5)),
                             faulty.address());
  }
  site.SetMemoryLimit(kMemoryMegabytes);
  site.AddEntryVm();
  CHECK(WaitUntil([&] { return site.IsReady(0); }));
  std::atomic<bool> has_ended{false};
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int number = 0; !has_ended; ++number) {
        Call(std::to_string(caller) + "-" + std::to_string(number),
             number % 2 == 0);
      }
    });
  }
  std::this_thread::sleep_for(kLength);
  has_ended = true;
  for (std::thread& caller : callers)
    caller.join();
  const int peak = PeakMegabytes(site.entry_vm(0).id());
  context.stop();
  thread.join();
  int served = 0;
  for (const caller_result& result : results) {
    const bool has_run = site.RunsOf(result.id) > 0;
    if (!has_run || result.elapsed >= kCallerLimit)
      continue;
    LONGS_EQUAL_TEXT(200, result.status, result.id.c_str());
    LONGS_EQUAL(kAnswerBytes, result.bytes);
    ++served;
  }
  CHECK(served > kCallers);
  // Each kind of faulty answer was sent.
  CHECK(faulty.requests() >= 4);
#ifndef __SANITIZE_ADDRESS__
  // The sanitizer keeps freed memory.
  CHECK(peak > 0);
  CHECK(peak <= kMemoryMegabytes);
#endif
  std::printf("\n%zu calls, %d served, %zu faulty answers, peak %d MB\n",
              results.size(), served, faulty.requests(), peak);
}

}  // namespace papayakeel::platform
