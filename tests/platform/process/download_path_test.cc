// Callers of a small entry VM with a slow link whose endpoints send large
// responses, and downloads that endpoints break off.
#include <atomic>
#include <cstdio>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "tests/modules/support/scripted_server.h"
#include "tests/modules/support/throttled_link.h"
#include "tests/platform/process/platform_stand_in.h"
#include "tests/process/support/test_client.h"
#include "tests/process/support/test_fleet.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kMemoryMegabytes = 112;
constexpr int kLinkMegabits = 10;
constexpr std::size_t kLinkBytesPerSecond = 1'250'000;
// One endpoint of nine sends the largest responses: 90 KB on average.
constexpr std::size_t kEndpoints = 18;
constexpr std::size_t kLargestEvery = 9;
constexpr std::size_t kLargeBytes = 540'000;
constexpr std::size_t kUsualBytes = 35'000;
constexpr std::size_t kSmallBytes = 5'000;
// Slow readers take about three quarters of the link together.
constexpr int kSlowReaders = 24;
constexpr std::size_t kReadBytes = 4096;
constexpr milliseconds kReadPause{100};
// Callers wait before they ask again.
constexpr milliseconds kAfterRefusal{300};
// Callers that stop reading, with several downloads each.
constexpr int kStalledCallers = 4;
constexpr int kPipelinedDownloads = 4;
constexpr int kReceiveBufferBytes = 4096;
constexpr seconds kLength{8};
constexpr milliseconds kBetweenCalls{50};
constexpr milliseconds kCallerLimit{4000};

constexpr char kIdHeader[] = "Papayakeel-Request-Id: ";
constexpr std::size_t kSoundEndpoints = 6;
// More callers than the sound endpoints have slots, so that the other one is
// used.
constexpr int kCallers = 16;
constexpr int kCallsPerCaller = 6;
// An entry VM knows a new endpoint by then.
constexpr seconds kUntilListed{2};

std::string Download(const std::string& id) {
  return "GET /file/d HTTP/1.1\r\nHost: a.example\r\n" +
         std::string(kIdHeader) + id +
         "\r\nPapayakeel-Deadline-Ms: " + std::to_string(kCallerLimit.count()) +
         "\r\n\r\n";
}

std::string ValueOf(const std::string& head, const std::string& name) {
  const std::size_t found = head.find(name);
  if (found == std::string::npos)
    return "";
  const std::size_t start = found + name.size();
  return head.substr(start, head.find('\r', start) - start);
}

// The most memory that the process has used, in KB.
int PeakKilobytes(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string word; status >> word;) {
    int kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes)
      return kilobytes;
  }
  return 0;
}

// A caller whose kernel takes little of a response.
boost::asio::ip::tcp::socket Connect(boost::asio::io_context& context,
                                     const network_address& vm) {
  boost::asio::ip::tcp::socket caller(context, boost::asio::ip::tcp::v4());
  caller.set_option(
      boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  caller.connect({boost::asio::ip::make_address(vm.host), vm.port});
  return caller;
}

struct call_result {
  int status = 0;  // 0: no response.
  std::size_t bytes = 0;
};

struct slow_results {
  std::atomic<int> complete{0};  // Status 200 with the whole body.
  std::atomic<int> refused{0};
  std::atomic<int> cut{0};
};

// Reads one response slowly. Returns whether it was whole.
bool ReadSlowly(boost::asio::ip::tcp::socket& caller, slow_results& results) {
  std::string received;
  std::size_t whole = std::string::npos;
  boost::system::error_code error;
  while (received.size() < whole) {
    char part[kReadBytes];
    const std::size_t size = caller.read_some(boost::asio::buffer(part), error);
    if (error) {
      ++results.cut;
      return false;
    }
    received.append(part, size);
    const std::size_t end = received.find("\r\n\r\n");
    if (end != std::string::npos) {
      whole = end + 4 + std::stoul("0" + ValueOf(received, "Content-Length: "));
    }
    if (received.size() < whole)
      std::this_thread::sleep_for(kReadPause);
  }
  ++(received.compare(9, 3, "200") == 0 ? results.complete : results.refused);
  return received.size() == whole;
}

}  // namespace

TEST_GROUP(download_path) {
  platform_stand_in site;
  boost::asio::io_context context;

  std::optional<http_response> Call(http::verb method, const std::string& path,
                                    const std::string& id) {
    return Send(
        site.CallersOf(0), method, path,
        {{"Host", "a.example"},
         {"Papayakeel-Request-Id", id},
         {"Papayakeel-Deadline-Ms", std::to_string(kCallerLimit.count())}},
        "", kCallerLimit + seconds(1));
  }

  // Calls beside each other. Returns the results by request id.
  std::map<std::string, call_result> CallBeside(
      http::verb method, const std::string& path, const std::string& name) {
    std::mutex mutex;
    std::map<std::string, call_result> results;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&, caller] {
        for (int number = 0; number < kCallsPerCaller; ++number) {
          const std::string id = name + "-" + std::to_string(caller) + "-" +
                                 std::to_string(number);
          const std::optional<http_response> answer = Call(method, path, id);
          const std::lock_guard<std::mutex> lock(mutex);
          if (answer)
            results[id] = {static_cast<int>(answer->result_int()),
                           answer->body().size()};
          else
            results[id] = {};
        }
      });
    }
    for (std::thread& caller : callers)
      caller.join();
    return results;
  }
};

// Guards against slow readers and large responses that use up the memory or the
// slots of a small VM, so that other callers are not served.
TEST(download_path, OthersAreServedBesideSlowReaders) {
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work(
      context.get_executor());
  site.PutState(3, {"/look/"}, {"/file/"});
  std::unique_ptr<throttled_link> link;
  std::vector<network_address> addresses;
  for (std::size_t index = 0; index < kEndpoints; ++index) {
    site.AddEndpoint(milliseconds(20));
    site.SetAnswerSize(index, kSmallBytes);
    site.SetDownloadSize(
        index, index % kLargestEvery == 0 ? kLargeBytes : kUsualBytes);
    const network_address endpoint = site.AddressOf(index);
    if (link) {
      addresses.push_back(link->AddServer(endpoint));
    } else {
      link = std::make_unique<throttled_link>(context,
                                              network_address{"127.0.0.1", 0},
                                              endpoint, kLinkBytesPerSecond);
      addresses.push_back(link->address());
    }
  }
  std::thread thread([this] { context.run(); });
  for (std::size_t index = 0; index < kEndpoints; ++index)
    site.SetPublishedAddress(index, addresses[index]);
  site.SetMemoryLimit(kMemoryMegabytes);
  site.SetLinkSpeed(kLinkMegabits);
  site.AddEntryVm();
  CHECK(WaitUntil([&] { return site.IsReady(0); }));
  const network_address vm = site.CallersOf(0);
  std::atomic<bool> has_ended{false};
  slow_results slow;
  std::vector<std::thread> readers;
  readers.reserve(kSlowReaders);
  for (int reader = 0; reader < kSlowReaders; ++reader) {
    readers.emplace_back([&, reader] {
      boost::asio::io_context own_context;
      boost::asio::ip::tcp::socket caller = Connect(own_context, vm);
      for (int number = 0; !has_ended; ++number) {
        boost::system::error_code error;
        boost::asio::write(
            caller,
            boost::asio::buffer(Download("slow-" + std::to_string(reader) +
                                         "-" + std::to_string(number))),
            error);
        const int refused_before = slow.refused;
        if (!ReadSlowly(caller, slow))
          caller = Connect(own_context, vm);
        if (slow.refused > refused_before)
          std::this_thread::sleep_for(kAfterRefusal);
      }
    });
  }
  boost::asio::io_context stalled_context;
  std::list<boost::asio::ip::tcp::socket> stalled;
  for (int caller = 0; caller < kStalledCallers; ++caller) {
    std::string requests;
    for (int number = 0; number < kPipelinedDownloads; ++number) {
      requests += Download("stalled-" + std::to_string(caller) + "-" +
                           std::to_string(number));
    }
    stalled.push_back(Connect(stalled_context, vm));
    boost::asio::write(stalled.back(), boost::asio::buffer(requests));
  }
  const monotonic_time start = std::chrono::steady_clock::now();
  int calls = 0;
  int served = 0;
  time_span longest{0};
  std::string failures;
  while (std::chrono::steady_clock::now() - start < kLength) {
    const std::string id = "other-" + std::to_string(calls++);
    const monotonic_time sent_at = std::chrono::steady_clock::now();
    const std::optional<http_response> answer =
        Call(http::verb::get, "/look/s", id);
    longest = std::max<time_span>(longest,
                                  std::chrono::steady_clock::now() - sent_at);
    const bool is_whole = answer && answer->result_int() == 200 &&
                          answer->body().size() == kSmallBytes;
    served += is_whole ? 1 : 0;
    if (!is_whole) {
      failures += " " + id + ":" +
                  (answer ? std::to_string(answer->result_int()) : "none");
    }
    std::this_thread::sleep_for(kBetweenCalls);
  }
  has_ended = true;
  for (std::thread& reader : readers)
    reader.join();
  const int peak = PeakKilobytes(site.entry_vm(0).id());
  boost::asio::post(context, [this] { context.stop(); });
  thread.join();
  std::printf(
      "\n%d of %d calls served, longest %.0f ms; slow readers: %d whole, %d "
      "refused, %d cut; peak %.1f MB\n",
      served, calls, ToMilliseconds(longest), slow.complete.load(),
      slow.refused.load(), slow.cut.load(), peak / 1024.0);
  CHECK(calls > 20);
  STRCMP_EQUAL("", failures.c_str());
  CHECK(slow.complete > kSlowReaders);
  // Of the callers that read, none loses its connection.
  LONGS_EQUAL(0, slow.cut.load());
#ifndef __SANITIZE_ADDRESS__
  // The sanitizer keeps freed memory.
  CHECK(peak > 0);
  CHECK(peak <= kMemoryMegabytes * 1024);
#endif
}

// Guards against a download that is given up when its endpoint breaks off the
// response, and against a once-only request that is sent a second time.
TEST(download_path, BrokenDownloadsAreRepeatedAndBookingsAreNot) {
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work(
      context.get_executor());
  std::atomic<int> broken{0};
  scripted_server faulty(
      context, [&broken](std::size_t, std::size_t, const std::string& header) {
        const std::string id = ValueOf(header, kIdHeader);
        const std::string head =
            "HTTP/1.1 200 OK\r\nPapayakeel-Server-Load: 0,0,2,100\r\n";
        if (id.empty())
          return server_script{head + "Content-Length: 0\r\n\r\n", "", {}};
        ++broken;
        return server_script{
            head + kIdHeader + id + "\r\nPapayakeel-Response-Seal: s\r\n" +
                "Content-Length: " + std::to_string(kUsualBytes) + "\r\n\r\n" +
                std::string(kUsualBytes / 2, 'b'),
            "",
            {},
            script_end::kClose};
      });
  std::thread thread([this] { context.run(); });
  site.PutState(3, {"/look/"}, {"/file/"});
  for (std::size_t index = 0; index < kSoundEndpoints; ++index)
    site.SetDownloadSize(site.AddEndpoint(milliseconds(40)), kUsualBytes);
  site.SetPublishedAddress(site.AddEndpoint(milliseconds(5)), faulty.address());
  site.SetLinkSpeed(kLinkMegabits);
  site.AddEntryVm();
  const bool is_ready = WaitUntil([&] { return site.IsReady(0); });
  const std::map<std::string, call_result> downloads =
      CallBeside(http::verb::get, "/file/d", "download");
  const int broken_downloads = broken;
  // The scheduler avoids the first endpoint that failed by now.
  site.SetPublishedAddress(site.AddEndpoint(milliseconds(5)), faulty.address());
  std::this_thread::sleep_for(kUntilListed);
  const std::map<std::string, call_result> bookings =
      CallBeside(http::verb::post, "/book/b", "booking");
  const int broken_bookings = broken - broken_downloads;
  boost::asio::post(context, [this] { context.stop(); });
  thread.join();
  std::printf("\n%d of %zu downloads and %d of %zu bookings broken off\n",
              broken_downloads, downloads.size(), broken_bookings,
              bookings.size());
  CHECK(is_ready);
  CHECK(broken_downloads > 0);
  for (const auto& [id, result] : downloads) {
    LONGS_EQUAL_TEXT(200, result.status, id.c_str());
    LONGS_EQUAL_TEXT(kUsualBytes, result.bytes, id.c_str());
  }
  CHECK(broken_bookings > 0);
  int unknown = 0;
  for (const auto& [id, result] : bookings) {
    unknown += result.status == 502 ? 1 : 0;
    CHECK_TEXT(result.status == 200 || result.status == 502, id.c_str());
    // An endpoint that broke off has run it.
    LONGS_EQUAL_TEXT(result.status == 200 ? 1 : 0, site.RunsOf(id), id.c_str());
  }
  LONGS_EQUAL(broken_bookings, unknown);
}

}  // namespace papayakeel::platform
