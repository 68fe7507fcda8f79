// Checks of calls, desired states and leaving endpoints.
#include "tests/platform/soak/soak_checks.h"

#include <algorithm>
#include <map>
#include <utility>

namespace papayakeel::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bounds that the users state. Time-bound invariants hold for VMs that nothing
// has disturbed for kStable.
constexpr time_span kStable = milliseconds(3000);
constexpr time_span kStateInForce = milliseconds(2000);
constexpr time_span kDrain = milliseconds(2000);
constexpr time_span kEvacuation = milliseconds(5000);
// An endpoint that serves gets requests in such a calm time when the callers
// press.
constexpr time_span kServingWindow = milliseconds(4000);
// Wall-clock noise of a loaded machine between a write and its record.
constexpr time_span kRecordSlack = milliseconds(250);

bool PromisesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

// A fault that lets time-bound invariants lapse, for one VM or all.
bool Disturbs(const fault_record& fault, std::optional<std::size_t> vm) {
  const bool is_planned = fault.kind == soak_fault::kNewState ||
                          fault.kind == soak_fault::kEndpointLeaves ||
                          fault.kind == soak_fault::kEndpointJoins ||
                          fault.kind == soak_fault::kEndpointsReport ||
                          fault.kind == soak_fault::kZoneEvacuated ||
                          fault.kind == soak_fault::kZoneCold;
  return !is_planned && (!vm || !fault.vm || *fault.vm == *vm);
}

bool IsCalm(const soak_record& record,
            std::optional<std::size_t> vm,
            monotonic_time from,
            monotonic_time to) {
  return std::none_of(record.faults.begin(), record.faults.end(),
                      [&](const fault_record& fault) {
                        return Disturbs(fault, vm) && fault.from <= to &&
                               fault.to + kStable >= from;
                      });
}

bool IsOfStore(const fault_record& fault) {
  return fault.kind == soak_fault::kStoreRefuses ||
         fault.kind == soak_fault::kStoreSilent ||
         fault.kind == soak_fault::kStoreCut ||
         fault.kind == soak_fault::kStoreReset ||
         fault.kind == soak_fault::kStoreRestored;
}

// When the bounds began to run that hold at `at`: when the change was accepted,
// or kStable after the end of the faults before `at`.
monotonic_time BoundsFrom(const soak_record& record,
                          std::optional<std::size_t> vm,
                          monotonic_time accepted_at,
                          monotonic_time at) {
  monotonic_time from = accepted_at;
  for (const fault_record& fault : record.faults) {
    if (Disturbs(fault, vm) && fault.from <= at)
      from = std::max(from, fault.to + kStable);
  }
  return from;
}

std::string Describe(const call_record& call, const std::string& what) {
  return what + ": request " + call.id + " at VM " + std::to_string(call.vm) +
         " boot " + std::to_string(call.boot) + ", status " +
         std::to_string(call.status) + ", runs " + std::to_string(call.runs);
}

void CheckCall(const call_record& call, std::vector<std::string>& found) {
  if (call.is_once_only && call.runs > 1)
    found.push_back(Describe(call, "once-only work ran twice"));
  if (PromisesNotRun(call.status) && call.runs > 0)
    found.push_back(Describe(call, "refused as not run, but it ran"));
  if (call.status == 200 && (!call.is_own_answer || call.runs == 0))
    found.push_back(Describe(call, "answer of another request"));
  if (call.status == 404 && call.state_version == 0)
    found.push_back(Describe(call, "existing route denied"));
}

void CheckStates(const soak_record& record, std::vector<std::string>& found) {
  // Newest version seen in force, by VM and boot, with when it was answered.
  std::map<std::pair<std::size_t, int>, std::pair<int, monotonic_time>> newest;
  std::vector<call_record> calls = record.calls;
  std::sort(calls.begin(), calls.end(),
            [](const call_record& left, const call_record& right) {
              return left.ended_at < right.ended_at;
            });
  for (const call_record& call : calls) {
    if (call.status != 200 || call.state_version == 0)
      continue;
    std::pair<int, monotonic_time>& seen = newest[{call.vm, call.boot}];
    if (call.state_version > seen.first)
      seen = {call.state_version, call.ended_at};
  }
  for (const call_record& call : calls) {
    if (call.status != 404 || call.state_version == 0)
      continue;
    const std::pair<int, monotonic_time>& seen = newest[{call.vm, call.boot}];
    if (seen.first >= call.state_version && call.sent_at > seen.second)
      found.push_back(Describe(call, "older state after a newer one"));
    for (const state_record& state : record.states) {
      const bool is_due =
          state.version == call.state_version &&
          call.sent_at > state.accepted_at + kStateInForce &&
          IsCalm(record, call.vm, state.accepted_at - kStable, call.sent_at);
      if (is_due)
        found.push_back(Describe(call, "state not in force in time"));
      const bool is_due_after_faults =
          state.version == call.state_version &&
          call.sent_at >
              BoundsFrom(record, call.vm, state.accepted_at, call.sent_at) +
                  kStateInForce + kRecordSlack;
      if (!is_due && is_due_after_faults)
        found.push_back(Describe(call, "state not in force after faults"));
    }
  }
}

void CheckLeaving(const soak_record& record, std::vector<std::string>& found) {
  for (const leaving_record& leaving : record.leaving) {
    if (!leaving.last_arrival)
      continue;
    const monotonic_time due = leaving.accepted_at + kDrain + kRecordSlack;
    const bool is_late =
        *leaving.last_arrival > due &&
        IsCalm(record, std::nullopt, leaving.accepted_at - kStable,
               *leaving.last_arrival);
    if (is_late) {
      found.push_back("leaving endpoint " + std::to_string(leaving.endpoint) +
                      " got a request late");
    }
  }
}

// Whether a leaving endpoint may get a request at `at`.
bool MayArrive(const soak_record& record,
               const leaving_record& leaving,
               monotonic_time at) {
  // VMs that have seen it leave are bound by that also while the store is away
  // or lists it again.
  const monotonic_time due = leaving.accepted_at + kDrain + kRecordSlack;
  const bool is_seen =
      IsCalm(record, std::nullopt, leaving.accepted_at - kStable, due);
  monotonic_time from = leaving.accepted_at;
  for (const fault_record& fault : record.faults) {
    const bool counts = Disturbs(fault, std::nullopt) && fault.from <= at &&
                        !(is_seen && IsOfStore(fault));
    if (counts)
      from = std::max(from, fault.to + kStable);
  }
  return at <= from + kDrain + kRecordSlack;
}

void CheckLeavingAfterFaults(const soak_record& record,
                             std::vector<std::string>& found) {
  for (const leaving_record& leaving : record.leaving) {
    const std::ptrdiff_t late = std::count_if(
        leaving.arrivals.begin(), leaving.arrivals.end(),
        [&](monotonic_time at) { return !MayArrive(record, leaving, at); });
    if (late > 0) {
      found.push_back("leaving endpoint " + std::to_string(leaving.endpoint) +
                      " got " + std::to_string(late) +
                      " requests after faults");
    }
  }
}

void CheckServing(const soak_record& record, std::vector<std::string>& found) {
  if (!record.pressed_from)
    return;
  for (const serving_record& serving : record.serving) {
    const monotonic_time due =
        std::max(*record.pressed_from,
                 BoundsFrom(record, std::nullopt, serving.accepted_at,
                            record.stopped_at) +
                     kStateInForce);
    const bool is_served =
        std::any_of(serving.arrivals.begin(), serving.arrivals.end(),
                    [&](monotonic_time at) { return at >= due; });
    if (record.stopped_at >= due + kServingWindow && !is_served) {
      found.push_back("endpoint " + std::to_string(serving.endpoint) +
                      " gets no requests again");
    }
  }
}

void CheckEvacuations(const soak_record& record,
                      std::vector<std::string>& found) {
  for (const zone_record& evacuation : record.evacuations) {
    std::ptrdiff_t late = 0;
    for (const std::vector<monotonic_time>& arrivals : evacuation.arrivals) {
      late += std::count_if(
          arrivals.begin(), arrivals.end(), [&](monotonic_time at) {
            return at < evacuation.ended_at &&
                   at > BoundsFrom(record, std::nullopt, evacuation.accepted_at,
                                   at) +
                            kEvacuation + kRecordSlack;
          });
    }
    if (late > 0) {
      found.push_back("evacuated zone got " + std::to_string(late) +
                      " requests");
    }
  }
}

// Cold endpoints, from when every VM knows that they are cold.
void CheckColdZones(const soak_record& record,
                    std::vector<std::string>& found) {
  for (const zone_record& cold : record.cold_zones) {
    for (const std::vector<monotonic_time>& arrivals : cold.arrivals) {
      std::size_t most = 0;
      for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
        const monotonic_time at = arrivals[last];
        const monotonic_time due =
            BoundsFrom(record, std::nullopt, cold.accepted_at, at) +
            kStateInForce + kRecordSlack;
        while (first < last &&
               (at - arrivals[first] >= seconds(1) || arrivals[first] < due))
          ++first;
        if (at >= due && at < cold.ended_at)
          most = std::max(most, last - first + 1);
      }
      if (static_cast<double>(most) > kSoakWarmUpRate * 1.5 + 8) {
        found.push_back("cold endpoint got " + std::to_string(most) +
                        " requests in a second");
      }
    }
  }
}

bool IsPlannedStop(const fault_record& fault) {
  return fault.kind == soak_fault::kStopVm ||
         fault.kind == soak_fault::kStopAll;
}

// Requests that a VM held when it was told to stop are answered.
void CheckStops(const soak_record& record, std::vector<std::string>& found) {
  for (const fault_record& stop : record.faults) {
    if (stop.kind != soak_fault::kStopVm)
      continue;
    for (const call_record& call : record.calls) {
      const bool was_held = call.vm == *stop.vm &&
                            call.sent_at + kRecordSlack < stop.from &&
                            call.ended_at > stop.from;
      if (!was_held || call.status != 0)
        continue;
      const bool is_disturbed = std::any_of(
          record.faults.begin(), record.faults.end(),
          [&](const fault_record& other) {
            return !IsPlannedStop(other) && Disturbs(other, std::nullopt) &&
                   other.from <= call.ended_at &&
                   other.to + kStable >= call.sent_at;
          });
      if (!is_disturbed)
        found.push_back(Describe(call, "cut by a planned stop"));
    }
  }
}

}  // namespace

std::vector<std::string> FindViolations(const soak_record& record) {
  std::vector<std::string> found = record.unrequested_ends;
  for (const call_record& call : record.calls)
    CheckCall(call, found);
  CheckStates(record, found);
  CheckLeaving(record, found);
  CheckLeavingAfterFaults(record, found);
  CheckServing(record, found);
  CheckStops(record, found);
  CheckEvacuations(record, found);
  CheckColdZones(record, found);
  return found;
}

}  // namespace papayakeel::platform
