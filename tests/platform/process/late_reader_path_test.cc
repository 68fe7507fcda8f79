// Callers of a small entry VM, some of which have stopped reading.
#include <list>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "tests/platform/process/platform_stand_in.h"
#include "tests/process/support/test_client.h"
#include "tests/process/support/test_fleet.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEndpoints = 8;
constexpr int kMemoryMegabytes = 64;
constexpr std::size_t kAnswerBytes = 256 << 10;
// Each of these callers asks for as much as all answers of the VM may take.
constexpr int kStalledCallers = 4;
constexpr int kPipelinedRequests = 31;
constexpr int kReceiveBufferBytes = 4096;
// Longer than a reading caller pauses.
constexpr milliseconds kBeforeOthers{2500};
constexpr int kOtherCalls = 40;
constexpr milliseconds kCallerLimit{4000};

std::string MakeRequest(const std::string& id) {
  return "GET /look/s HTTP/1.1\r\nHost: a.example\r\nPapayakeel-Request-Id: " +
         id +
         "\r\nPapayakeel-Deadline-Ms: " + std::to_string(kCallerLimit.count()) +
         "\r\n\r\n";
}

}  // namespace

TEST_GROUP(late_reader_path) {
  platform_stand_in site;
  boost::asio::io_context context;
};

// Guards against callers that stop reading and hold all memory for answers, so
// that those of others are broken off.
TEST(late_reader_path, OthersGetTheirAnswers) {
  site.PutState(3, {"/look/"});
  for (std::size_t index = 0; index < kEndpoints; ++index)
    site.SetAnswerSize(site.AddEndpoint(milliseconds(5)), kAnswerBytes);
  site.SetMemoryLimit(kMemoryMegabytes);
  site.AddEntryVm();
  CHECK(WaitUntil([&] { return site.IsReady(0); }));
  const network_address vm = site.CallersOf(0);
  std::list<boost::asio::ip::tcp::socket> stalled;
  for (int caller = 0; caller < kStalledCallers; ++caller) {
    std::string requests;
    for (int number = 0; number < kPipelinedRequests; ++number) {
      requests += MakeRequest("stalled-" + std::to_string(caller) + "-" +
                              std::to_string(number));
    }
    stalled.emplace_back(context);
    stalled.back().open(boost::asio::ip::tcp::v4());
    // Little stays in the kernel.
    stalled.back().set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    stalled.back().connect({boost::asio::ip::make_address(vm.host), vm.port});
    boost::asio::write(stalled.back(), boost::asio::buffer(requests));
  }
  std::this_thread::sleep_for(kBeforeOthers);
  for (int number = 0; number < kOtherCalls; ++number) {
    const std::string id = "other-" + std::to_string(number);
    const std::optional<http_response> answer =
        Send(vm, http::verb::get, "/look/s",
             {{"Host", "a.example"},
              {"Papayakeel-Request-Id", id},
              {"Papayakeel-Deadline-Ms", std::to_string(kCallerLimit.count())}},
             "", kCallerLimit + seconds(1));
    CHECK_TEXT(answer.has_value(), id.c_str());
    LONGS_EQUAL_TEXT(200, answer->result_int(), id.c_str());
    LONGS_EQUAL_TEXT(kAnswerBytes, answer->body().size(), id.c_str());
  }
  CHECK(site.LogOf(0).find("event=caller_lost") != std::string::npos);
  CHECK(site.LogOf(0).find("reason=memory") != std::string::npos);
}

}  // namespace papayakeel::platform
