// Stops a fleet of entry VMs in groups while callers send requests, and checks
// that each request that an endpoint ran gets its answer. Exit status 1 if one
// lost its connection instead, 2 if the case could not run.
#include <signal.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/process/platform_stand_in.h"
#include "tests/platform/soak/soak_caller.h"

namespace {

using papayakeel::monotonic_time;
using papayakeel::time_span;
using papayakeel::platform::call_record;
using papayakeel::platform::platform_stand_in;
using papayakeel::platform::soak_caller;
using papayakeel::platform::soak_caller_hooks;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 32;
constexpr std::size_t kEndpoints = 24;
constexpr std::size_t kCallers = 40;
constexpr milliseconds kWork{300};
// The dose of the standard days: 6 VMs at a time, every 1.3 s.
constexpr std::size_t kGroup = 6;
constexpr milliseconds kGroupGap{1300};
constexpr seconds kGrace{6};
constexpr seconds kStartLimit{40};
constexpr seconds kCalm{6};

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
// child_process adds the number of the signal to this.
constexpr int kSignalStatus = 128;

monotonic_time Now() {
  return std::chrono::steady_clock::now();
}

bool AwaitReady(const platform_stand_in& site) {
  const monotonic_time end = Now() + kStartLimit;
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    while (!site.IsReady(vm)) {
      if (Now() >= end)
        return false;
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  return true;
}

struct vm_end {
  std::size_t vm = 0;
  monotonic_time told_at;
  std::optional<int> status;  // None if it had to be killed after the grace.
};

// Tells all VMs to stop, a group at a time, and waits for their ends.
std::vector<vm_end> StopFleet(platform_stand_in& site) {
  std::vector<vm_end> ends;
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    if (vm > 0 && vm % kGroup == 0)
      std::this_thread::sleep_for(kGroupGap);
    site.entry_vm(vm).Signal(SIGTERM);
    ends.push_back({vm, Now(), std::nullopt});
  }
  for (vm_end& each : ends) {
    const time_span left = each.told_at + kGrace - Now();
    each.status =
        site.entry_vm(each.vm).Wait(std::chrono::duration_cast<milliseconds>(
            std::max(left, time_span(milliseconds(1)))));
    if (!each.status)
      site.entry_vm(each.vm).Kill();
  }
  return ends;
}

}  // namespace

int main(int argument_count, const char** arguments) {
  if (argument_count < 2)
    return kCouldNotRun;
  std::ofstream record(arguments[1]);
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";

  platform_stand_in site;
  site.PutState(1, {"/look/"});
  for (std::size_t index = 0; index < kEndpoints; ++index)
    site.AddEndpoint(kWork);
  for (std::size_t index = 0; index < kVms; ++index)
    site.AddEntryVm();
  if (!AwaitReady(site)) {
    record << "the fleet did not become ready\n";
    return kCouldNotRun;
  }
  // The members find each other.
  std::this_thread::sleep_for(kCalm);

  soak_caller_hooks hooks;
  hooks.address_of = [&site](std::size_t vm) { return site.CallersOf(vm); };
  hooks.boot_of = [](std::size_t) { return 1; };
  hooks.newest_state = [] { return 0; };
  std::vector<std::unique_ptr<soak_caller>> callers;
  for (std::size_t index = 0; index < kCallers; ++index) {
    callers.push_back(std::make_unique<soak_caller>("c" + std::to_string(index),
                                                    index + 1, kVms, hooks));
  }
  std::this_thread::sleep_for(kCalm);
  const monotonic_time start = Now();
  std::vector<vm_end> ends;
  if (has_trouble)
    ends = StopFleet(site);
  else
    std::this_thread::sleep_for(kCalm + kGrace);

  std::vector<call_record> calls;
  for (const std::unique_ptr<soak_caller>& caller : callers) {
    const std::vector<call_record> made = caller->Finish();
    calls.insert(calls.end(), made.begin(), made.end());
  }
  int crashed = 0;
  for (const vm_end& each : ends) {
    const bool has_crashed = each.status && *each.status > kSignalStatus;
    crashed += has_crashed ? 1 : 0;
    record << "vm " << each.vm << " told to stop at "
           << papayakeel::ToMilliseconds(each.told_at - start) << " ms, "
           << (each.status ? "ended with status " + std::to_string(*each.status)
                           : "killed after the grace period")
           << "\n";
  }
  int served = 0;
  int lost = 0;
  for (call_record& call : calls) {
    call.runs = site.RunsOf(call.id);
    served += call.status == 200 ? 1 : 0;
    const bool is_lost = call.boot > 0 && call.status == 0 && call.runs > 0;
    lost += is_lost ? 1 : 0;
    record << call.id << " vm " << call.vm << " sent at "
           << papayakeel::ToMilliseconds(call.sent_at - start) << " ms, took "
           << papayakeel::ToMilliseconds(call.ended_at - call.sent_at)
           << " ms, status " << call.status << ", runs " << call.runs
           << (is_lost ? ", LOST" : "") << "\n";
  }
  record << "calls " << calls.size() << ", served " << served
         << ", run but without an answer " << lost
         << ", VMs that ended by a signal of their own " << crashed << "\n";
  if (served == 0)
    return kCouldNotRun;
  return lost > 0 || crashed > 0 ? kBroken : kHeld;
}
