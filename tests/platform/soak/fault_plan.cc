// Drawing of faults.
#include "tests/platform/soak/fault_plan.h"

#include <algorithm>
#include <random>
#include <utility>

namespace papayakeel::platform {

namespace {

using std::chrono::milliseconds;

// A fault starts this long after the one before it, so that many overlap.
constexpr int kLeastGapMs = 100;
constexpr int kMostGapMs = 2200;
constexpr int kLeastLengthMs = 200;
constexpr int kMostLengthMs = 4000;
// Kinds up to this one are drawn alike.
constexpr int kLastDrawnKind = static_cast<int>(soak_fault::kNewState);

// The users' bounds for a store that comes back from an older copy.
constexpr int kLeastAwayMs = 200;
constexpr int kMostAwayMs = 2000;
constexpr int kLeastCopyAgeMs = 1000;
constexpr int kMostCopyAgeMs = 8000;
// Changes are written this long before and after the store goes away.
constexpr int kMostBeforeMs = 6000;
constexpr int kMostAfterMs = 4000;
constexpr int kMostRestores = 3;
constexpr int kEarliestRestorePercent = 40;  // Of the length of the faults.
constexpr int kMostSignals = 6;
constexpr int kMostSignalGapMs = 300;

constexpr int kMostEvacuations = 3;
constexpr int kLeastEvacuationMs = 3000;
constexpr int kMostEvacuationMs = 11000;
constexpr int kLeastColdMs = 3000;
constexpr int kMostColdMs = 8000;

class plan_maker {
 public:
  plan_maker(std::uint64_t seed, const soak_size& size)
      : random_(seed), size_(size) {}

  std::vector<planned_fault> Make();

 private:
  int Draw(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }
  planned_fault MakeFault(soak_fault kind, time_span at);
  void AddMixed();
  // Restores, each with changes before, during and after it.
  void AddRestores();
  void AddChange(time_span at);
  // In some plans the fleet stops as a whole.
  void AddFleetStop();
  // In half of the plans zones are evacuated or become cold.
  void AddZones();
  // Signals, restarts and desired states in quick succession.
  void AddSignals();

  std::mt19937_64 random_;
  const soak_size size_;
  std::vector<planned_fault> plan_;
};

planned_fault plan_maker::MakeFault(soak_fault kind, time_span at) {
  planned_fault fault;
  fault.at = std::max(at, time_span{0});
  fault.kind = kind;
  fault.target = static_cast<std::size_t>(
      Draw(0, static_cast<int>(std::max(size_.vms, size_.endpoints)) - 1));
  fault.lasts = milliseconds(Draw(kLeastLengthMs, kMostLengthMs));
  fault.seed = random_();
  return fault;
}

void plan_maker::AddMixed() {
  time_span at = milliseconds(Draw(kLeastGapMs, kMostGapMs));
  while (at < size_.length) {
    const auto kind = static_cast<soak_fault>(Draw(0, kLastDrawnKind));
    plan_.push_back(MakeFault(kind, at));
    at += milliseconds(Draw(kLeastGapMs, kMostGapMs));
  }
}

void plan_maker::AddChange(time_span at) {
  constexpr soak_fault changes[] = {
      soak_fault::kNewState, soak_fault::kEndpointLeaves,
      soak_fault::kEndpointJoins, soak_fault::kNewState};
  plan_.push_back(MakeFault(changes[Draw(0, 3)], at));
}

void plan_maker::AddRestores() {
  const int length_ms = static_cast<int>(ToMilliseconds(size_.length));
  const int restores = Draw(1, kMostRestores);
  time_span at =
      milliseconds(Draw(length_ms * kEarliestRestorePercent / 100, length_ms));
  for (int index = 0; index < restores; ++index) {
    planned_fault fault = MakeFault(soak_fault::kStoreRestored, at);
    fault.lasts = milliseconds(Draw(kLeastAwayMs, kMostAwayMs));
    fault.copy_age = milliseconds(Draw(kLeastCopyAgeMs, kMostCopyAgeMs));
    plan_.push_back(fault);
    AddChange(at - milliseconds(Draw(0, kMostBeforeMs)));
    AddChange(at - milliseconds(Draw(0, kMostBeforeMs)));
    plan_.push_back(MakeFault(soak_fault::kEndpointsReport,
                              at - milliseconds(Draw(0, kMostBeforeMs))));
    AddChange(at + fault.lasts * Draw(0, 100) / 100);
    AddChange(at + fault.lasts + milliseconds(Draw(0, kMostAfterMs)));
    at += fault.lasts + milliseconds(Draw(kLeastGapMs, kMostAfterMs));
  }
}

void plan_maker::AddSignals() {
  constexpr soak_fault signal_kinds[] = {
      soak_fault::kStopVm, soak_fault::kReloadVm, soak_fault::kKillVm,
      soak_fault::kPauseVm, soak_fault::kNewState};
  const int length_ms = static_cast<int>(ToMilliseconds(size_.length));
  time_span at = milliseconds(Draw(0, length_ms));
  const int signals = Draw(2, kMostSignals);
  for (int index = 0; index < signals; ++index) {
    plan_.push_back(MakeFault(signal_kinds[Draw(0, 4)], at));
    at += milliseconds(Draw(0, kMostSignalGapMs));
  }
}

void plan_maker::AddFleetStop() {
  if (Draw(0, 3) > 0)
    return;
  const int length_ms = static_cast<int>(ToMilliseconds(size_.length));
  plan_.push_back(
      MakeFault(soak_fault::kStopAll, milliseconds(Draw(0, length_ms))));
}

void plan_maker::AddZones() {
  if (Draw(0, 1) == 0)
    return;
  const int length_ms = static_cast<int>(ToMilliseconds(size_.length));
  const int evacuations = Draw(1, kMostEvacuations);
  for (int index = 0; index < evacuations; ++index) {
    planned_fault fault =
        MakeFault(soak_fault::kZoneEvacuated, milliseconds(Draw(0, length_ms)));
    fault.lasts = milliseconds(Draw(kLeastEvacuationMs, kMostEvacuationMs));
    plan_.push_back(fault);
    // Endpoints may have become cold when they are taken back.
    fault = MakeFault(soak_fault::kZoneCold,
                      fault.at + fault.lasts - milliseconds(Draw(0, 3000)));
    fault.target = plan_.back().target;
    fault.lasts = milliseconds(Draw(kLeastColdMs, kMostColdMs));
    plan_.push_back(fault);
  }
}

std::vector<planned_fault> plan_maker::Make() {
  // A quarter each without restores and with little else.
  const int choice = Draw(0, 3);
  if (choice != 1)
    AddMixed();
  if (choice != 0)
    AddRestores();
  if (choice != 1 || Draw(0, 1) == 0)
    AddSignals();
  AddFleetStop();
  // Drawn last: the other faults of a seed stay as they were.
  AddZones();
  std::stable_sort(plan_.begin(), plan_.end(),
                   [](const planned_fault& left, const planned_fault& right) {
                     return left.at < right.at;
                   });
  return std::move(plan_);
}

}  // namespace

const char* ToString(soak_fault fault) {
  switch (fault) {
    case soak_fault::kKillVm:
      return "kill_vm";
    case soak_fault::kPauseVm:
      return "pause_vm";
    case soak_fault::kStopVm:
      return "stop_vm";
    case soak_fault::kReloadVm:
      return "reload_vm";
    case soak_fault::kKillAll:
      return "kill_all";
    case soak_fault::kStoreRefuses:
      return "store_refuses";
    case soak_fault::kStoreSilent:
      return "store_silent";
    case soak_fault::kStoreCut:
      return "store_cut";
    case soak_fault::kStoreReset:
      return "store_reset";
    case soak_fault::kEndpointCut:
      return "endpoint_cut";
    case soak_fault::kEndpointCutBack:
      return "endpoint_cut_back";
    case soak_fault::kEndpointDelayed:
      return "endpoint_delayed";
    case soak_fault::kEndpointReset:
      return "endpoint_reset";
    case soak_fault::kEndpointLeaves:
      return "endpoint_leaves";
    case soak_fault::kNewState:
      return "new_state";
    case soak_fault::kStoreRestored:
      return "store_restored";
    case soak_fault::kEndpointJoins:
      return "endpoint_joins";
    case soak_fault::kEndpointsReport:
      return "endpoints_report";
    case soak_fault::kStopAll:
      return "stop_all";
    case soak_fault::kZoneEvacuated:
      return "zone_evacuated";
    case soak_fault::kZoneCold:
      return "zone_cold";
  }
  return "unknown";
}

std::vector<planned_fault> MakeFaultPlan(std::uint64_t seed,
                                         const soak_size& size) {
  return plan_maker(seed, size).Make();
}

}  // namespace papayakeel::platform
