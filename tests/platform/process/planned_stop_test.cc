// Planned stops of entry VMs whose callers go on sending until the process has
// ended: on connections that they hold open, and on new ones.
#include <signal.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
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

constexpr milliseconds kCallerLimit{4000};
// The stand-in's grace period is 6 s.
constexpr milliseconds kGrace{6000};
constexpr milliseconds kSendInterval{100};

std::string BookingRequest(const std::string& id) {
  return "POST /book/s HTTP/1.1\r\nHost: a.example\r\n"
         "Papayakeel-Request-Id: " +
         id +
         "\r\nPapayakeel-Deadline-Ms: " + std::to_string(kCallerLimit.count()) +
         "\r\nContent-Length: 5\r\n\r\norder";
}

// A connection that a caller opens early and uses late.
class held_connection {
 public:
  explicit held_connection(const network_address& server) : socket_(context_) {
    boost::system::error_code error;
    socket_.connect({boost::asio::ip::make_address(server.host), server.port},
                    error);
  }

  // Returns the status line of the answer; empty: the connection ended without
  // one.
  std::string Call(const std::string& request) {
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(request), error);
    std::string answer;
    boost::asio::read_until(socket_, boost::asio::dynamic_buffer(answer),
                            "\r\n", error);
    return error ? "" : answer.substr(0, answer.find('\r'));
  }

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
};

// A fleet that is large enough to have readers, stopped a group at a time.
constexpr std::size_t kFleetSize = 32;
constexpr std::size_t kStopGroup = 6;
constexpr milliseconds kStopGroupGap{1300};

}  // namespace

TEST_GROUP(planned_stop) {
  platform_stand_in site;
  std::mutex mutex;
  struct caller_answer {
    std::string status;
    time_span elapsed{0};
  };
  std::map<std::string, caller_answer> answers;  // By request id.

  void Start(std::size_t endpoints, std::size_t vms, time_span work) {
    site.PutState(3, {"/look/"});
    for (std::size_t index = 0; index < endpoints; ++index)
      site.AddEndpoint(work);
    for (std::size_t index = 0; index < vms; ++index)
      site.AddEntryVm();
    // A lone VM logs no members.
    const std::string members =
        vms == 1 ? "event=started"
                 : "event=members_changed members=" + std::to_string(vms) + " ";
    CHECK(WaitUntil([&] {
      for (std::size_t index = 0; index < vms; ++index) {
        const bool knows_all =
            site.LogOf(index).find(members) != std::string::npos;
        if (!knows_all || !site.IsReady(index))
          return false;
      }
      return true;
    }));
  }

  void Call(held_connection & connection, const std::string& id) {
    const monotonic_time sent_at = std::chrono::steady_clock::now();
    const std::string status = connection.Call(BookingRequest(id));
    const time_span elapsed = std::chrono::steady_clock::now() - sent_at;
    const std::lock_guard<std::mutex> lock(mutex);
    answers[id] = {status, elapsed};
  }

  // Sends bookings to a VM from its order to stop until its end, one at each
  // interval on a connection opened before and one on a new connection.
  std::vector<std::thread> SendUntilTheEnd(std::size_t vm,
                                           const std::string& name) {
    std::vector<std::thread> callers;
    for (milliseconds at{0}; at < kGrace; at += kSendInterval) {
      const std::string id = name + std::to_string(at.count());
      const std::shared_ptr<held_connection> held =
          std::make_shared<held_connection>(site.CallersOf(vm));
      callers.emplace_back([this, id, held, at] {
        std::this_thread::sleep_for(at);
        Call(*held, id + "-held");
      });
      callers.emplace_back([this, id, vm, at] {
        std::this_thread::sleep_for(at);
        held_connection opened(site.CallersOf(vm));
        Call(opened, id + "-new");
      });
    }
    return callers;
  }

  // What was passed on is answered by its endpoint or has reached its caller's
  // limit; what is refused has not run.
  void CheckAnswers() {
    int served = 0;
    int refused = 0;
    for (const auto& [id, answer] : answers) {
      const std::string& status = answer.status;
      const int arrivals = site.ArrivalsOf(id);
      std::string text = id;
      text += ": " + status;
      text += ", sent on " + std::to_string(arrivals) + " times";
      if (status.find(" 200 ") != std::string::npos) {
        ++served;
        CHECK_TRUE_TEXT(arrivals == 1, text.c_str());
        continue;
      }
      const bool has_timed_out =
          !status.empty() && answer.elapsed >= kCallerLimit;
      CHECK_TRUE_TEXT(arrivals == 0 || has_timed_out, text.c_str());
      refused += status.find(" 503 ") != std::string::npos ? 1 : 0;
    }
    CHECK(served > 0);
    CHECK(refused > 0);
  }
};

// Guards against requests that come late in the grace period, are passed on,
// and are cut without an answer at its end: the work takes 2.8 s of a limit of
// 4 s.
TEST(planned_stop, LateRequestsAreServedWholeOrRefused) {
  Start(40, 2, milliseconds(2800));
  std::vector<std::thread> callers = SendUntilTheEnd(0, "late");
  site.entry_vm(0).Signal(SIGTERM);
  for (std::thread& caller : callers)
    caller.join();
  const std::optional<int> status = site.entry_vm(0).Wait(seconds(8));
  CHECK(status.has_value());
  LONGS_EQUAL(0, *status);
  CheckAnswers();
}

// As above, with two VMs that stop at once, one of which owns the service for
// the other.
TEST(planned_stop, TwoStopsAtOnceCutNothing) {
  Start(40, 3, milliseconds(2800));
  std::vector<std::thread> callers = SendUntilTheEnd(0, "first");
  std::vector<std::thread> others = SendUntilTheEnd(1, "second");
  site.entry_vm(0).Signal(SIGTERM);
  site.entry_vm(1).Signal(SIGTERM);
  for (std::thread& caller : callers)
    caller.join();
  for (std::thread& caller : others)
    caller.join();
  for (std::size_t vm = 0; vm < 2; ++vm) {
    const std::optional<int> status = site.entry_vm(vm).Wait(seconds(8));
    CHECK(status.has_value());
    LONGS_EQUAL(0, *status);
  }
  CheckAnswers();
}

// Guards against a fleet that stops as a whole, a group of VMs at a time, and
// whose last VMs crash and take the requests at endpoints with them: once the
// fleet is large, some VMs read the store for all, and nobody is left to.
TEST(planned_stop, AWholeFleetStopsWithoutCuttingRequests) {
  Start(24, kFleetSize, milliseconds(300));
  std::atomic<bool> has_stopped{false};
  std::vector<std::thread> callers;
  for (std::size_t vm = 0; vm < kFleetSize; ++vm) {
    callers.emplace_back([this, vm, &has_stopped] {
      for (int number = 0; !has_stopped; ++number) {
        held_connection connection(site.CallersOf(vm));
        Call(connection, std::to_string(vm) + "-" + std::to_string(number));
        std::this_thread::sleep_for(kSendInterval);
      }
    });
  }
  std::this_thread::sleep_for(seconds(1));
  for (std::size_t vm = 0; vm < kFleetSize; ++vm) {
    if (vm > 0 && vm % kStopGroup == 0)
      std::this_thread::sleep_for(kStopGroupGap);
    site.entry_vm(vm).Signal(SIGTERM);
  }
  std::vector<std::optional<int>> statuses;
  for (std::size_t vm = 0; vm < kFleetSize; ++vm)
    statuses.push_back(site.entry_vm(vm).Wait(seconds(8)));
  has_stopped = true;
  for (std::thread& caller : callers)
    caller.join();
  for (const std::optional<int>& status : statuses) {
    CHECK(status.has_value());
    LONGS_EQUAL(0, *status);
  }
  CheckAnswers();
}

// Guards against a request that waits for a slot when its VM is told to stop,
// is granted one late and is cut: the endpoints are busy for 2 s.
TEST(planned_stop, WaitingRequestsAreRefusedInTime) {
  Start(1, 1, milliseconds(2500));
  std::vector<std::thread> callers;
  callers.reserve(6);
  for (int caller = 0; caller < 6; ++caller) {
    callers.emplace_back([this, caller] {
      const std::string id = "wait" + std::to_string(caller);
      held_connection connection(site.CallersOf(0));
      Call(connection, id);
    });
  }
  std::this_thread::sleep_for(milliseconds(200));
  site.entry_vm(0).Signal(SIGTERM);
  for (std::thread& caller : callers)
    caller.join();
  const std::optional<int> status = site.entry_vm(0).Wait(seconds(8));
  CHECK(status.has_value());
  LONGS_EQUAL(0, *status);
  CheckAnswers();
}

}  // namespace papayakeel::platform
