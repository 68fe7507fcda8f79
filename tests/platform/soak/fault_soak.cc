// Injecting faults into real processes.
#include "tests/platform/soak/fault_soak.h"

#include <signal.h>

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "tests/platform/soak/soak_caller.h"
#include "tests/platform/soak/soak_checks.h"

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
// An endpoint that leaves may end its entry this long after it was marked.
constexpr milliseconds kUnlisted{800};
// Callers go on for this long after the last fault has ended; after a restore
// until the checks that wait for calm have something to see.
constexpr seconds kCalmEnd{4};
constexpr milliseconds kCalmEndAfterRestore{9500};
// At its end callers press, so that the work needs every endpoint.
constexpr milliseconds kPressing{4200};
constexpr milliseconds kPressedWork{100};
constexpr std::size_t kPressingPerEndpoint = 3;
// The store's copies: how often and for how long they are kept.
constexpr milliseconds kCopyEvery{200};
constexpr seconds kCopiesKept{10};
// The users' bound for what is written again after a restore.
constexpr int kLeastWriteMs = 200;
constexpr int kMostWriteMs = 1900;
constexpr int kMostReports = 12;

std::string ZoneName(std::size_t zone) {
  return "z" + std::to_string(zone);
}

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
  site_.SetWarmUpRate(kSoakWarmUpRate);
  site_.PutState(1, lookups_);
  for (std::size_t index = 0; index < size_.endpoints; ++index)
    AddEndpoint();
  for (std::size_t index = 0; index < size_.vms; ++index) {
    site_.AddEntryVm();
    boots_.push_back(std::make_unique<std::atomic<int>>(1));
  }
  return Await(kStartLimit, [this] { return IsEveryVmReady(); });
}

void fault_soak::AddEndpoint() {
  const std::size_t index =
      site_.AddEndpoint(kWork, ZoneName(endpoint_relays_.size() % kSoakZones));
  endpoint_relays_.push_back(std::make_unique<tcp_relay>(
      network_address{"127.0.0.1", 0}, site_.AddressOf(index)));
  site_.SetPublishedAddress(index, endpoint_relays_.back()->local_address());
  is_leaving_.push_back(false);
  serving_since_.push_back(Now());
}

void fault_soak::ReportOften(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const int reports =
      std::uniform_int_distribution<int>(1, kMostReports)(random);
  for (int report = 0; report < reports; ++report) {
    for (const std::function<void()>& write : site_.WritesAgain(std::nullopt)) {
      if (random() % 2 == 0)
        write();
    }
  }
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
  const auto add_callers = [&](std::size_t count) {
    for (; count > 0; --count) {
      const std::size_t index = callers.size();
      callers.push_back(std::make_unique<soak_caller>(
          "c" + std::to_string(index), seed_ * kCallers + index, size_.vms,
          hooks));
    }
  };
  add_callers(kCallers);
  const std::vector<planned_fault> plan = MakeFaultPlan(seed_, size_);
  Play(plan);
  const bool has_restore =
      std::any_of(plan.begin(), plan.end(), [](const planned_fault& planned) {
        return planned.kind == soak_fault::kStoreRestored;
      });
  if (has_restore) {
    std::this_thread::sleep_for(kCalmEndAfterRestore - kPressing);
    for (std::size_t index = 0; index < is_leaving_.size(); ++index)
      site_.SetWork(index, kPressedWork);
    record_.pressed_from = Now();
    add_callers(is_leaving_.size() * kPressingPerEndpoint);
    std::this_thread::sleep_for(kPressing);
  } else {
    std::this_thread::sleep_for(kCalmEnd);
  }
  record_.stopped_at = Now();
  for (const std::unique_ptr<soak_caller>& caller : callers) {
    const std::vector<call_record> calls = caller->Finish();
    record_.calls.insert(record_.calls.end(), calls.begin(), calls.end());
  }
  for (std::size_t vm = 0; vm < size_.vms; ++vm)
    site_.entry_vm(vm).Wait(milliseconds(0));
  record_.unrequested_ends = child_process::TakeUnrequestedEnds();
  for (call_record& call : record_.calls)
    call.runs = site_.RunsOf(call.id);
  for (std::size_t index = 0; index < is_leaving_.size(); ++index) {
    record_.serving.push_back(
        {index, serving_since_[index], site_.ArrivalTimesOn(index)});
  }
  return record_;
}

void fault_soak::Play(const std::vector<planned_fault>& plan) {
  const monotonic_time start = Now();
  for (const planned_fault& planned : plan) {
    while (Now() < start + planned.at)
      Step();
    Begin(planned);
  }
  while (!pending_.empty())
    Step();
}

void fault_soak::Step() {
  EndDueFaults();
  KeepCopy();
  std::this_thread::sleep_for(kStep);
}

void fault_soak::KeepCopy() {
  const monotonic_time now = Now();
  if (!copies_.empty() && now < copies_.back().taken_at + kCopyEvery)
    return;
  copies_.push_back({now, site_.CopyStore()});
  while (copies_.front().taken_at + kCopiesKept < now)
    copies_.pop_front();
}

void fault_soak::BeginRestore(const planned_fault& planned) {
  KeepCopy();
  // The newest copy that is old enough, else the oldest.
  store_copy copy = copies_.front().copy;
  for (const kept_copy& kept : copies_) {
    if (kept.taken_at + planned.copy_age <= Now())
      copy = kept.copy;
  }
  switch (planned.seed % 3) {
    case 0:
      site_.SetStoreFault(store_fault::kRefuses);
      break;
    case 1:
      site_.SetStoreFault(store_fault::kSilent);
      break;
    default:
      site_.SetStoreFault(store_fault::kRefuses);
      store_relay_->Reset();
      store_relay_->Cut();
  }
  EndLater(planned, [this, copy = std::move(copy), seed = planned.seed] {
    EndRestore(copy, seed);
  });
}

void fault_soak::EndRestore(const store_copy& copy, std::uint64_t seed) {
  site_.RestoreStore(copy);
  site_.SetStoreFault(store_fault::kNone);
  store_relay_->Heal();
  std::mt19937_64 random(seed);
  // All is written again, or only what the copy lacks.
  const bool is_all = random() % 2 == 0;
  for (std::function<void()>& write :
       site_.WritesAgain(is_all ? std::nullopt : std::make_optional(copy))) {
    DoLater(milliseconds(std::uniform_int_distribution<int>(
                kLeastWriteMs, kMostWriteMs)(random)),
            std::move(write));
  }
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
    case soak_fault::kStopAll:
      return StopAll(planned);
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
    case soak_fault::kStoreRestored:
      return BeginRestore(planned);
    case soak_fault::kEndpointJoins:
      return AddEndpoint();
    case soak_fault::kEndpointsReport:
      return ReportOften(planned.seed);
    case soak_fault::kZoneEvacuated:
      return EvacuateAndReturn(planned);
    case soak_fault::kZoneCold:
      return MakeZoneCold(planned);
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

void fault_soak::StopAll(const planned_fault& planned) {
  planned_fault stop = planned;
  stop.lasts = kGrace;
  for (std::size_t vm = 0; vm < size_.vms; ++vm) {
    const time_span delay = kStopGroupGap * static_cast<int>(vm / kStopGroup);
    stop.lasts = std::max(stop.lasts, delay + kGrace);
    DoLater(delay, [this, vm] {
      const monotonic_time now = Now();
      record_.faults.push_back({soak_fault::kStopVm, vm, now, now + kGrace});
      site_.entry_vm(vm).Signal(SIGTERM);
    });
  }
  EndLater(stop, [this] {
    for (std::size_t vm = 0; vm < size_.vms; ++vm)
      Restart(vm);
  });
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
  record_.leaving.push_back({endpoint, Now(), std::nullopt, {}});
  const bool is_unlisted = ToMilliseconds(lasts) > 2000;
  if (is_unlisted)
    DoLater(kUnlisted, [this, endpoint] { site_.Unregister(endpoint); });
  planned_fault away;
  away.lasts = kAwayTime + lasts;
  EndLater(away, [this, endpoint, number] {
    leaving_record& leaving = record_.leaving.at(number);
    leaving.last_arrival = site_.LastArrivalOn(endpoint);
    leaving.arrivals = site_.ArrivalTimesOn(endpoint);
    is_leaving_.at(endpoint) = false;
    site_.Register(endpoint, false);
    serving_since_.at(endpoint) = Now();
  });
}

std::vector<std::vector<monotonic_time>> fault_soak::ArrivalsIn(
    std::size_t zone) {
  std::vector<std::vector<monotonic_time>> arrivals;
  for (std::size_t each = zone; each < is_leaving_.size(); each += kSoakZones)
    arrivals.push_back(site_.ArrivalTimesOn(each));
  return arrivals;
}

void fault_soak::EvacuateAndReturn(const planned_fault& planned) {
  const std::size_t zone = planned.target % kSoakZones;
  if (evacuated_.count(zone) > 0 || evacuated_.size() + 1 == kSoakZones)
    return;
  evacuated_.insert(zone);
  site_.Evacuate(ZoneName(zone));
  const std::size_t number = record_.evacuations.size();
  record_.evacuations.push_back({Now(), {}, {}});
  EndLater(planned, [this, zone, number] {
    record_.evacuations.at(number).ended_at = Now();
    record_.evacuations.at(number).arrivals = ArrivalsIn(zone);
    evacuated_.erase(zone);
    site_.RevokeEvacuation(ZoneName(zone));
    for (std::size_t each = zone; each < serving_since_.size();
         each += kSoakZones) {
      serving_since_.at(each) = Now();
    }
  });
}

void fault_soak::MakeZoneCold(const planned_fault& planned) {
  const std::size_t zone = planned.target % kSoakZones;
  if (!cold_.insert(zone).second)
    return;
  const std::size_t number = record_.cold_zones.size();
  record_.cold_zones.push_back({Now(), Now() + planned.lasts, {}});
  std::vector<std::size_t> endpoints;
  for (std::size_t each = zone; each < is_leaving_.size(); each += kSoakZones) {
    if (is_leaving_.at(each))
      continue;
    endpoints.push_back(each);
    site_.MakeCold(each, planned.lasts, true);
  }
  EndLater(planned, [this, zone, number, endpoints] {
    cold_.erase(zone);
    for (const std::size_t each : endpoints) {
      record_.cold_zones.at(number).arrivals.push_back(
          site_.ArrivalTimesOn(each));
      // It may be needed only from now on.
      serving_since_.at(each) = Now();
    }
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

void fault_soak::DoLater(time_span delay, std::function<void()> action) {
  pending_.push_back({Now() + delay, std::nullopt, std::move(action)});
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
    if (pending.fault)
      record_.faults.at(*pending.fault).to = Now();
  }
}

}  // namespace papayakeel::platform
