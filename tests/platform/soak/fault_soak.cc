// Injecting faults into real processes.
#include "tests/platform/soak/fault_soak.h"

#include <signal.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "tests/platform/soak/soak_caller.h"

namespace papayakeel::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kCallers = 6;
constexpr milliseconds kWork{8};
constexpr milliseconds kStep{20};
// The users' bounds: to start, to recover after a loss of all, and to stop.
constexpr seconds kStartLimit{20};
constexpr seconds kRecovery{15};
constexpr seconds kGrace{6};
// No work starts on an endpoint that has left; those that leave come back, so
// that the service keeps some.
constexpr seconds kAwayTime{5};
// Callers go on for this long after the last fault has ended.
constexpr seconds kCalmEnd{4};

monotonic_time Now() {
  return std::chrono::steady_clock::now();
}

// Calls `is_done` until it returns true or `limit` passes.
bool Await(time_span limit, const std::function<bool()>& is_done) {
  const monotonic_time end = Now() + limit;
  while (!is_done()) {
    if (Now() >= end)
      return false;
    std::this_thread::sleep_for(kStep);
  }
  return true;
}

}  // namespace

fault_soak::fault_soak(std::uint64_t seed, soak_size size)
    : size_(size), seed_(seed), lookups_({"/look/"}) {}

bool fault_soak::Start() {
  store_relay_ = std::make_unique<tcp_relay>(network_address{"127.0.0.1", 0},
                                             site_.StoreAddress());
  site_.SetPublishedStoreAddress(store_relay_->local_address());
  newest_state_ = 1;
  site_.PutState(1, lookups_);
  for (std::size_t index = 0; index < size_.endpoints; ++index) {
    site_.AddEndpoint(kWork);
    endpoint_relays_.push_back(std::make_unique<tcp_relay>(
        network_address{"127.0.0.1", 0}, site_.AddressOf(index)));
    site_.SetPublishedAddress(index, endpoint_relays_.back()->local_address());
    is_leaving_.push_back(false);
  }
  for (std::size_t index = 0; index < size_.vms; ++index) {
    site_.AddEntryVm();
    boots_.push_back(std::make_unique<std::atomic<int>>(1));
  }
  return Await(kStartLimit, [this] { return IsEveryVmReady(); });
}

bool fault_soak::IsEveryVmReady() const {
  for (std::size_t index = 0; index < size_.vms; ++index) {
    if (!site_.IsReady(index))
      return false;
  }
  return true;
}

bool fault_soak::IsRecovered() {
  return Await(kRecovery, [this] { return IsEveryVmReady(); });
}

soak_record fault_soak::Run() {
  soak_caller_hooks hooks;
  hooks.address_of = [this](std::size_t vm) { return site_.CallersOf(vm); };
  hooks.boot_of = [this](std::size_t vm) { return boots_.at(vm)->load(); };
  hooks.newest_state = [this] {
    // The first state has no route of its own.
    return newest_state_ > 1 ? newest_state_.load() : 0;
  };
  std::vector<std::unique_ptr<soak_caller>> callers;
  for (std::size_t index = 0; index < kCallers; ++index) {
    callers.push_back(std::make_unique<soak_caller>("c" + std::to_string(index),
                                                    seed_ * kCallers + index,
                                                    size_.vms, hooks));
  }
  const monotonic_time start = Now();
  for (const planned_fault& planned : MakeFaultPlan(seed_, size_)) {
    while (Now() < start + planned.at) {
      EndDueFaults();
      std::this_thread::sleep_for(kStep);
    }
    Begin(planned);
  }
  while (!pending_.empty()) {
    EndDueFaults();
    std::this_thread::sleep_for(kStep);
  }
  std::this_thread::sleep_for(kCalmEnd);
  for (const std::unique_ptr<soak_caller>& caller : callers) {
    const std::vector<call_record> calls = caller->Finish();
    record_.calls.insert(record_.calls.end(), calls.begin(), calls.end());
  }
  for (call_record& call : record_.calls)
    call.runs = site_.RunsOf(call.id);
  return record_;
}

void fault_soak::Begin(const planned_fault& planned) {
  const monotonic_time now = Now();
  record_.faults.push_back({planned.kind, std::nullopt, now, now});
  switch (planned.kind) {
    case soak_fault::kKillVm:
    case soak_fault::kPauseVm:
    case soak_fault::kStopVm:
    case soak_fault::kReloadVm:
      return BeginVmFault(planned);
    case soak_fault::kKillAll:
      for (std::size_t vm = 0; vm < size_.vms; ++vm)
        site_.entry_vm(vm).Kill();
      return EndLater(planned, [this] {
        for (std::size_t vm = 0; vm < size_.vms; ++vm)
          Restart(vm);
      });
    case soak_fault::kStoreRefuses:
    case soak_fault::kStoreSilent:
      site_.SetStoreFault(planned.kind == soak_fault::kStoreRefuses
                              ? store_fault::kRefuses
                              : store_fault::kSilent);
      return EndLater(planned,
                      [this] { site_.SetStoreFault(store_fault::kNone); });
    case soak_fault::kStoreCut:
      store_relay_->Cut();
      return EndLater(planned, [this] { store_relay_->Heal(); });
    case soak_fault::kStoreReset:
      return store_relay_->Reset();
    case soak_fault::kNewState:
      return PutNewState();
    default:
      return BeginEndpointFault(planned);
  }
}

void fault_soak::BeginVmFault(const planned_fault& planned) {
  const std::size_t vm = planned.target % size_.vms;
  record_.faults.back().vm = vm;
  child_process& process = site_.entry_vm(vm);
  if (planned.kind == soak_fault::kReloadVm)
    return process.Signal(SIGHUP);
  if (planned.kind == soak_fault::kPauseVm) {
    process.Signal(SIGSTOP);
    return EndLater(planned,
                    [this, vm] { site_.entry_vm(vm).Signal(SIGCONT); });
  }
  if (planned.kind == soak_fault::kKillVm) {
    process.Kill();
    return EndLater(planned, [this, vm] { Restart(vm); });
  }
  process.Signal(SIGTERM);
  planned_fault stop = planned;
  stop.lasts = kGrace;
  EndLater(stop, [this, vm] { Restart(vm); });
}

void fault_soak::BeginEndpointFault(const planned_fault& planned) {
  const std::size_t endpoint = planned.target % size_.endpoints;
  tcp_relay& relay = RelayOf(endpoint);
  if (planned.kind == soak_fault::kEndpointLeaves)
    return LeaveAndReturn(endpoint, planned.lasts);
  if (planned.kind == soak_fault::kEndpointReset)
    return relay.Reset();
  relay_fault fault = relay_fault::kDelay;
  if (planned.kind == soak_fault::kEndpointCut)
    fault = relay_fault::kCut;
  if (planned.kind == soak_fault::kEndpointCutBack)
    fault = relay_fault::kCutSource;
  relay.SetFault(fault);
  EndLater(planned, [this, endpoint] { RelayOf(endpoint).Heal(); });
}

void fault_soak::LeaveAndReturn(std::size_t endpoint, time_span lasts) {
  const std::ptrdiff_t staying =
      std::count(is_leaving_.begin(), is_leaving_.end(), false);
  if (is_leaving_.at(endpoint) || staying <= 2)
    return;
  is_leaving_.at(endpoint) = true;
  site_.Register(endpoint, true);
  const std::size_t number = record_.leaving.size();
  record_.leaving.push_back({endpoint, Now(), std::nullopt});
  planned_fault away;
  away.lasts = kAwayTime + lasts;
  EndLater(away, [this, endpoint, number] {
    record_.leaving.at(number).last_arrival = site_.LastArrivalOn(endpoint);
    is_leaving_.at(endpoint) = false;
    site_.Register(endpoint, false);
  });
}

void fault_soak::PutNewState() {
  const int version = newest_state_ + 1 + static_cast<int>(seed_ % 3);
  lookups_.push_back("/v" + std::to_string(version) + "/");
  site_.PutState(version, lookups_);
  record_.states.push_back({version, Now()});
  newest_state_ = version;
}

void fault_soak::Restart(std::size_t vm) {
  // Requests on connections that are opened from here on belong to the new
  // process.
  site_.entry_vm(vm).Kill();
  ++*boots_.at(vm);
  site_.RestartEntryVm(vm);
}

void fault_soak::EndLater(const planned_fault& planned,
                          std::function<void()> end) {
  const monotonic_time at = Now() + planned.lasts;
  record_.faults.back().to = at;
  pending_.push_back({at, record_.faults.size() - 1, std::move(end)});
}

void fault_soak::EndDueFaults() {
  std::vector<pending_end> due;
  for (auto each = pending_.begin(); each != pending_.end();) {
    if (each->at > Now()) {
      ++each;
      continue;
    }
    due.push_back(std::move(*each));
    each = pending_.erase(each);
  }
  for (const pending_end& pending : due) {
    pending.end();
    record_.faults.at(pending.fault).to = Now();
  }
}

}  // namespace papayakeel::platform
