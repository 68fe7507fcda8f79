// Entry VMs between callers and endpoints that read late.
#include <signal.h>

#include <list>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
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

constexpr std::size_t kUploadBytes = 360'000;
// Most of the caller's limit, and of the stand-in's grace period of 6 s.
constexpr milliseconds kLatePause{2500};
constexpr milliseconds kBeforeStop{300};

std::string MakeRequest(const std::string& id) {
  return "GET /look/s HTTP/1.1\r\nHost: a.example\r\nPapayakeel-Request-Id: " +
         id +
         "\r\nPapayakeel-Deadline-Ms: " + std::to_string(kCallerLimit.count()) +
         "\r\n\r\n";
}

// An endpoint that reads the head of one upload, works, and reads the body when
// its work needs it.
class late_endpoint {
 public:
  late_endpoint()
      : acceptor_(context_, boost::asio::ip::tcp::v4()), connection_(context_) {
    acceptor_.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor_.listen();
    thread_ = std::thread([this] { Serve(); });
  }
  ~late_endpoint() {
    // Ends a call of the thread that still waits.
    shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
  }
  late_endpoint(const late_endpoint&) = delete;
  late_endpoint& operator=(const late_endpoint&) = delete;

  network_address address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  // Status checks come on connections of their own.
  void Serve() {
    boost::system::error_code error;
    while (!error) {
      connection_ = boost::asio::ip::tcp::socket(context_);
      acceptor_.accept(connection_, error);
      if (!error)
        Answer();
    }
  }

  void Answer() {
    boost::system::error_code error;
    std::string received;
    const std::size_t head = boost::asio::read_until(
        connection_, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
    const std::string id_header = "Papayakeel-Request-Id: ";
    const std::size_t id_start = received.find(id_header);
    std::string answer =
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n";
    if (id_start != std::string::npos) {
      std::this_thread::sleep_for(kLatePause);
      boost::asio::read(connection_, boost::asio::dynamic_buffer(received),
                        boost::asio::transfer_exactly(kUploadBytes -
                                                      (received.size() - head)),
                        error);
      const std::size_t id_end = received.find('\r', id_start);
      answer += received.substr(id_start, id_end - id_start) +
                "\r\nPapayakeel-Response-Seal: s\r\n";
    }
    if (!error)
      boost::asio::write(connection_, boost::asio::buffer(answer + "\r\n"),
                         error);
    connection_.close(error);
  }

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket connection_;
  std::thread thread_;
};

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

// Guards against a stop that breaks off an upload at which its endpoint is at
// work, because the endpoint reads the body late (LOST).
TEST(late_reader_path, AStopWaitsForAnUploadThatIsReadLate) {
  late_endpoint endpoint;
  site.PutState(3, {"/look/"});
  site.SetPublishedAddress(site.AddEndpoint(milliseconds(5)),
                           endpoint.address());
  site.AddEntryVm();
  CHECK(WaitUntil([&] { return site.IsReady(0); }));
  std::optional<http_response> answer;
  std::thread caller([&] {
    answer =
        Send(site.CallersOf(0), http::verb::post, "/book/late",
             {{"Host", "a.example"},
              {"Papayakeel-Request-Id", "late"},
              {"Papayakeel-Deadline-Ms", std::to_string(kCallerLimit.count())}},
             std::string(kUploadBytes, 'x'), kCallerLimit + seconds(1));
  });
  std::this_thread::sleep_for(kBeforeStop);
  site.entry_vm(0).Signal(SIGTERM);
  caller.join();
  const std::string log = site.LogOf(0);
  CHECK_TEXT(answer.has_value(), log.c_str());
  LONGS_EQUAL_TEXT(200, answer->result_int(), log.c_str());
  const std::optional<int> status = site.entry_vm(0).Wait(seconds(8));
  CHECK(status.has_value());
  LONGS_EQUAL(0, *status);
}

}  // namespace papayakeel::platform
