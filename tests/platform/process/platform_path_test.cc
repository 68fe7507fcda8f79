// The whole path on the users' platform, with real entry VM processes, under
// failures of processes, the store, endpoints and the reader of logs.
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/process/platform_stand_in.h"
#include "tests/process/support/test_client.h"
#include "tests/process/support/test_fleet.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_GROUP(platform_path) {
  platform_stand_in site;
  std::atomic<int> next_id{0};

  // Starts endpoints and VMs and waits until all VMs name each other.
  void Start(std::size_t endpoints, std::size_t vms, time_span work) {
    site.PutState(3, {"/look/"});
    for (std::size_t index = 0; index < endpoints; ++index)
      site.AddEndpoint(work);
    for (std::size_t index = 0; index < vms; ++index)
      site.AddEntryVm();
    CHECK(WaitUntil([&] {
      for (std::size_t index = 0; index < vms; ++index) {
        if (!site.IsReady(index) || site.AddressesFrom(index).size() != vms)
          return false;
      }
      return true;
    }));
  }

  std::optional<http_response> Call(std::size_t vm, http::verb method,
                                    const std::string& target,
                                    const std::string& id) {
    return Send(site.CallersOf(vm), method, target,
                {{"Host", "a.example"},
                 {"Papayakeel-Request-Id", id},
                 {"Papayakeel-Deadline-Ms", "4000"}},
                method == http::verb::post ? "order" : "");
  }

  std::string NewId() {
    return "r" + std::to_string(next_id++);
  }

  // Looks up `count` times and returns how many were answered whole.
  int LookTimes(std::size_t vm, int count) {
    int served = 0;
    for (int number = 0; number < count; ++number) {
      const std::string target = "/look/" + std::to_string(number);
      const std::optional<http_response> answer =
          Call(vm, http::verb::get, target, NewId());
      const bool is_served = answer && answer->result() == http::status::ok;
      if (is_served)
        STRCMP_EQUAL(("GET " + target + "\n").c_str(), answer->body().c_str());
      served += is_served ? 1 : 0;
    }
    return served;
  }
};

// Guards against a path that loses an answer, its proof or its id, or runs a
// booking twice, on a calm day.
TEST(platform_path, ServesLookupsAndRunsBookingsOnce) {
  Start(3, 2, milliseconds(5));
  LONGS_EQUAL(20, LookTimes(0, 20));
  for (int number = 0; number < 20; ++number) {
    const std::string id = NewId();
    const std::optional<http_response> answer =
        Call(number % 2, http::verb::post, "/book/x", id);
    CHECK(answer.has_value());
    LONGS_EQUAL(200, answer->result_int());
    STRCMP_EQUAL("POST /book/x\n", answer->body().c_str());
    STRCMP_EQUAL(id.c_str(),
                 std::string((*answer)["Papayakeel-Request-Id"]).c_str());
    CHECK(!(*answer)["Papayakeel-Response-Seal"].empty());
    LONGS_EQUAL(1, site.RunsOf(id));
  }
  LONGS_EQUAL(404, Call(0, http::verb::get, "/none/", NewId())->result_int());
}

// Guards against a process that answers 404 for routes that it has not read.
TEST(platform_path, WithoutADesiredStateTheAnswerIsNotRun) {
  site.AddEndpoint(milliseconds(5));
  site.AddEntryVm();
  std::optional<http_response> answer;
  CHECK(WaitUntil([&] {
    answer = Call(0, http::verb::get, "/look/1", NewId());
    return answer.has_value();
  }));
  LONGS_EQUAL(503, answer->result_int());
  CHECK(!(*answer)["Retry-After"].empty());
  CHECK_FALSE(site.IsReady(0));
}

// Guards against an owner whose loss stops the others, or makes bookings run
// twice: any of the three may be the owner.
TEST(platform_path, LostEntryVmsStopNobodyElse) {
  Start(4, 3, milliseconds(5));
  site.entry_vm(0).Kill();
  std::set<std::string> answered;
  int served = 0;
  for (int number = 0; number < 60; ++number) {
    const std::string id = NewId();
    const std::optional<http_response> answer =
        Call(1 + number % 2, http::verb::post, "/book/y", id);
    served += answer && answer->result() == http::status::ok ? 1 : 0;
    CHECK(site.RunsOf(id) <= 1);
  }
  // Only requests in the first moments may meet the lost owner.
  CHECK(served >= 55);
  CHECK(WaitUntil([&] { return site.AddressesFrom(1).size() == 2; }));
  site.entry_vm(1).Kill();
  CHECK(WaitUntil([&] { return site.AddressesFrom(2).size() == 1; }));
  LONGS_EQUAL(20, LookTimes(2, 20));
}

// Guards against an outage of the store that stops service, and against a
// process that does not find out that the store is back.
TEST(platform_path, ServesWhileTheStoreIsAway) {
  Start(2, 2, milliseconds(5));
  for (const store_fault fault :
       {store_fault::kRefuses, store_fault::kSilent}) {
    site.SetStoreFault(fault);
    LONGS_EQUAL(20, LookTimes(0, 20));
    LONGS_EQUAL(20, LookTimes(1, 20));
    const int version = fault == store_fault::kRefuses ? 10 : 20;
    const std::string prefix = "/new" + std::to_string(version) + "/";
    site.PutState(version, {"/look/", prefix});
    site.SetStoreFault(store_fault::kNone);
    for (std::size_t vm = 0; vm < 2; ++vm) {
      CHECK(WaitUntil([&] {
        return Call(vm, http::verb::get, prefix, NewId())->result() ==
               http::status::ok;
      }));
    }
  }
}

// Guards against a desired state that is not in force everywhere within two
// seconds, and against one that reverts when an older one is read.
TEST(platform_path, NewestStateIsInForceAndStays) {
  Start(2, 3, milliseconds(5));
  site.PutState(8, {"/look/", "/added/"});
  const monotonic_time written = std::chrono::steady_clock::now();
  for (std::size_t vm = 0; vm < 3; ++vm) {
    CHECK(WaitUntil([&] {
      return Call(vm, http::verb::get, "/added/", NewId())->result() ==
             http::status::ok;
    }));
  }
  CHECK(std::chrono::steady_clock::now() - written < seconds(2));
  site.PutState(5, {"/look/"});
  std::this_thread::sleep_for(milliseconds(1500));
  for (std::size_t vm = 0; vm < 3; ++vm) {
    LONGS_EQUAL(200,
                Call(vm, http::verb::get, "/added/", NewId())->result_int());
  }
}

// Guards against new work for an endpoint that leaves, by its report or by the
// removal of its entry.
TEST(platform_path, LeavingEndpointsGetNothing) {
  Start(3, 2, milliseconds(5));
  site.Register(0, true);
  site.Remove("servers/i-1");
  std::this_thread::sleep_for(seconds(2));
  const int before = site.RunsOn(0) + site.RunsOn(1);
  LONGS_EQUAL(40, LookTimes(0, 20) + LookTimes(1, 20));
  LONGS_EQUAL(before, site.RunsOn(0) + site.RunsOn(1));
}

// Guards against requests to an endpoint after one of its answers has said that
// it leaves, while its entry does not say so.
TEST(platform_path, EndpointThatAnnouncesItsLeavingGetsNothing) {
  Start(3, 2, milliseconds(5));
  site.AnnounceLeaving(0);
  LONGS_EQUAL(60, LookTimes(0, 30) + LookTimes(1, 30));
  const int before = site.RunsOn(0);
  LONGS_EQUAL(60, LookTimes(0, 30) + LookTimes(1, 30));
  LONGS_EQUAL(before, site.RunsOn(0));
  // A later report of the same start changes nothing.
  site.Register(0, false);
  std::this_thread::sleep_for(milliseconds(800));
  LONGS_EQUAL(60, LookTimes(0, 30) + LookTimes(1, 30));
  LONGS_EQUAL(before, site.RunsOn(0));
}

// Guards against a new owner that has not heard the announcement and sends the
// requests of those that have to the endpoint.
TEST(platform_path, NewOwnersDoNotUndoAnAnnouncedLeaving) {
  Start(3, 3, milliseconds(5));
  site.AnnounceLeaving(0);
  LONGS_EQUAL(90, LookTimes(0, 30) + LookTimes(1, 30) + LookTimes(2, 30));
  const int before = site.RunsOn(0);
  for (const std::size_t lost : {0, 1}) {
    site.entry_vm(lost).Kill();
    site.RestartEntryVm(lost);
    LookTimes(2, 40);
  }
  LONGS_EQUAL(before, site.RunsOn(0));
}

// Guards against a caller that is told to wait although the endpoints, which
// refuse its request, have free slots.
TEST(platform_path, RefusalWithFreeSlotsLetsTheCallerReturnAtOnce) {
  Start(3, 1, milliseconds(5));
  for (std::size_t endpoint = 0; endpoint < 3; ++endpoint)
    site.Reject(endpoint);
  for (const http::verb method : {http::verb::get, http::verb::post}) {
    const bool is_get = method == http::verb::get;
    const std::optional<http_response> answer =
        Call(0, method, is_get ? "/look/1" : "/book/1", NewId());
    CHECK(answer.has_value());
    LONGS_EQUAL(503, answer->result_int());
    const double retry_after = std::stod(std::string((*answer)["Retry-After"]));
    CHECK(retry_after > 0);
    CHECK(retry_after <= 0.015);
  }
}

// Guards against once-only requests that are sent to further endpoints after
// their caller has left: only what an endpoint may have begun goes on.
TEST(platform_path, NothingIsSentAfterTheCallerHasLeft) {
  Start(3, 1, milliseconds(400));
  for (std::size_t endpoint = 0; endpoint < 3; ++endpoint)
    site.Reject(endpoint);
  SendRaw(site.CallersOf(0),
          "POST /book/left HTTP/1.1\r\nHost: a.example\r\n"
          "Papayakeel-Request-Id: left-1\r\nPapayakeel-Deadline-Ms: 4000\r\n"
          "Content-Length: 5\r\n\r\norder",
          milliseconds(150));
  std::this_thread::sleep_for(milliseconds(1200));
  LONGS_EQUAL(1, site.ArrivalsOf("left-1"));
}

// Guards against the departure of a caller that goes unnoticed because its
// request said that it was the last one: it was sent once a slot was free.
TEST(platform_path, WaitingRequestOfACallerThatLeftIsNotSent) {
  Start(1, 1, milliseconds(700));
  std::vector<std::thread> others;
  others.reserve(2);
  for (int other = 0; other < 2; ++other) {
    others.emplace_back([this, other] {
      Call(0, http::verb::post, "/book/", "other" + std::to_string(other));
    });
  }
  std::this_thread::sleep_for(milliseconds(100));
  for (const char* const connection : {"close", "keep-alive"}) {
    SendRaw(site.CallersOf(0),
            "GET /look/ HTTP/1.1\r\nHost: a.example\r\nConnection: " +
                std::string(connection) + "\r\nPapayakeel-Request-Id: left-" +
                connection + "\r\nPapayakeel-Deadline-Ms: 4000\r\n\r\n",
            milliseconds(100));
  }
  for (std::thread& other : others)
    other.join();
  std::this_thread::sleep_for(milliseconds(500));
  LONGS_EQUAL(0, site.ArrivalsOf("left-close"));
  LONGS_EQUAL(0, site.ArrivalsOf("left-keep-alive"));
}

// Guards against requests that are cut when their entry VM is told to stop.
TEST(platform_path, StoppingCutsOffNothing) {
  Start(4, 2, milliseconds(400));
  std::atomic<int> served{0};
  std::vector<std::thread> callers;
  callers.reserve(6);
  for (int caller = 0; caller < 6; ++caller) {
    callers.emplace_back([this, caller, &served] {
      const std::optional<http_response> answer =
          Call(0, http::verb::post, "/book/z", "stop" + std::to_string(caller));
      if (answer && answer->result() == http::status::ok)
        ++served;
    });
  }
  std::this_thread::sleep_for(milliseconds(150));
  site.entry_vm(0).Signal(SIGTERM);
  CHECK(WaitUntil([&] { return !site.IsReady(0); }));
  for (std::thread& caller : callers)
    caller.join();
  LONGS_EQUAL(6, served.load());
  const std::optional<int> status = site.entry_vm(0).Wait(seconds(8));
  CHECK(status.has_value());
  LONGS_EQUAL(0, *status);
  CHECK(WaitUntil([&] { return site.AddressesFrom(1).size() == 1; }));
  LONGS_EQUAL(10, LookTimes(1, 10));
}

// Guards against an entry VM that stops serving after a freeze, and against an
// owner whose freeze stops the others.
TEST(platform_path, FrozenEntryVmServesAgain) {
  Start(3, 2, milliseconds(5));
  for (std::size_t frozen = 0; frozen < 2; ++frozen) {
    site.entry_vm(frozen).Signal(SIGSTOP);
    CHECK(LookTimes(1 - frozen, 30) >= 28);
    site.entry_vm(frozen).Signal(SIGCONT);
    CHECK(WaitUntil([&] { return LookTimes(frozen, 1) == 1; }));
    CHECK(WaitUntil([&] { return site.AddressesFrom(0).size() == 2; }));
  }
}

// Guards against a log whose reader has stopped and that blocks the calls: the
// pipe is full after some hundred lines.
TEST(platform_path, StoppedLogReaderDoesNotBlockCalls) {
  site.PutState(3, {"/look/"});
  site.AddEndpoint(milliseconds(1));
  site.AddEndpoint(milliseconds(1));
  std::string pattern = "/tmp/papayakeel-log-XXXXXX";
  const std::string pipe = std::string(mkdtemp(pattern.data())) + "/log";
  LONGS_EQUAL(0, mkfifo(pipe.c_str(), 0600));
  // Open for both, so that the daemon can open it and nothing is ever read.
  const int unread = open(pipe.c_str(), O_RDWR | O_CLOEXEC);
  site.AddEntryVm(pipe);
  CHECK(WaitUntil([&] { return site.IsReady(0); }));
  LONGS_EQUAL(600, LookTimes(0, 600));
  close(unread);
}

// Guards against requests that cannot be followed in the logs: each decision
// bears the caller's id, also at the owner.
TEST(platform_path, LogsTellTheStoryOfARequest) {
  Start(2, 2, milliseconds(5));
  Call(0, http::verb::get, "/look/story", "story-1");
  std::string logs;
  CHECK(WaitUntil([&] {
    logs = site.LogOf(0) + site.LogOf(1);
    return logs.find("event=request_ended request=story-1") !=
           std::string::npos;
  }));
  CHECK(logs.find("event=slot_granted request=story-1") != std::string::npos);
  CHECK(logs.find("event=attempt_started request=story-1") !=
        std::string::npos);
}

// Guards against a refused request whose cause cannot be told from the log and
// the metrics: an outdated desired state, its limits, or the request itself.
TEST(platform_path, LogsTellWhyARequestIsRefused) {
  Start(1, 1, milliseconds(5));
  const auto send = [&](const std::string& request_line,
                        const std::string& headers) {
    SendRaw(site.CallersOf(0),
            request_line + " HTTP/1.1\r\n" + headers + "\r\n", seconds(2));
  };
  LONGS_EQUAL(
      404, Call(0, http::verb::get, "/none/1?x=1", "refused-1")->result_int());
  send("GET /look/1",
       "Papayakeel-Request-Id: refused-2\r\nHost: a\r\nHost: b\r\n");
  send("GET /look/1",
       "Papayakeel-Request-Id: refused-3\r\nHost: a.example\r\n" +
           std::string(17000, 'x') + ": y\r\n");
  send("PUT /look/1",
       "Papayakeel-Request-Id: refused-4\r\nHost: a.example\r\n"
       "Content-Length: 9000000\r\n");
  send("GET /look/1",
       "Papayakeel-Request-Id: refused-5\r\nHost: a.example\r\n"
       "Papayakeel-Deadline-Ms: soon\r\n");
  const std::string header_limit =
      "request=refused-3 status=431 reason=header_limit "
      "detail=\"limit 16384 bytes\" ";
  const std::string body_limit =
      "request=refused-4 status=413 reason=body_limit "
      "detail=\"limit 1048576 bytes\" ";
  const std::vector<std::string> expected = {
      "request=refused-1 status=404 reason=no_route detail=a.example/none/1 ",
      "request=refused-2 status=400 reason=malformed detail=host ",
      header_limit, body_limit,
      "request=refused-5 status=400 reason=bad_deadline detail=soon "};
  for (const std::string& each : expected) {
    std::string line;
    WaitUntil([&] {
      const std::string log = site.LogOf(0);
      const std::size_t found = log.find("event=request_refused " + each);
      if (found == std::string::npos)
        return false;
      line = log.substr(found, log.find('\n', found) - found);
      return true;
    });
    CHECK_TRUE_TEXT(!line.empty(), each.c_str());
    CHECK_TRUE_TEXT(
        line.find(" state_version=3 state_age_ms=") != std::string::npos,
        line.c_str());
    CHECK_TRUE_TEXT(line.find(" state_source=store") != std::string::npos,
                    line.c_str());
  }
  const std::string metrics = site.MetricsOf(0);
  for (const char* reason : {"no_route", "header_limit", "body_limit"}) {
    const std::string sample = "papayakeel_requests_refused_total{reason=\"" +
                               std::string(reason) + "\"} 1";
    CHECK_TRUE_TEXT(metrics.find(sample) != std::string::npos, sample.c_str());
  }
}

}  // namespace papayakeel::platform
