// Which faults a run of the soak injects and when, drawn from a seed.
#ifndef TESTS_PLATFORM_SOAK_FAULT_PLAN_H_
#define TESTS_PLATFORM_SOAK_FAULT_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/monotonic_time.h"

namespace papayakeel::platform {

enum class soak_fault {
  kKillVm,
  kPauseVm,
  kStopVm,    // SIGTERM, then a new start.
  kReloadVm,  // SIGHUP.
  kKillAll,
  kStoreRefuses,
  kStoreSilent,
  kStoreCut,    // The bytes to the store are lost.
  kStoreReset,  // Its connections are reset.
  kEndpointCut,
  kEndpointCutBack,  // Answers are lost, requests are not.
  kEndpointDelayed,
  kEndpointReset,
  kEndpointLeaves,
  kNewState,
  kStoreRestored,  // Away, then back from an older copy.
  kEndpointJoins,
  kEndpointsReport,  // Each writes its entry again, some of them often.
  kStopAll,  // SIGTERM for a group of VMs after the other, then new starts.
  kZoneEvacuated,
  kZoneCold,  // Its endpoints become cold.
};

const char* ToString(soak_fault fault);

struct planned_fault {
  time_span at{0};  // From the start of traffic.
  soak_fault kind = soak_fault::kKillVm;
  std::size_t target = 0;  // Index of a VM or an endpoint, where it has one.
  time_span lasts{0};
  time_span copy_age{0};   // Of kStoreRestored, when the store goes away.
  std::uint64_t seed = 0;  // Of what is drawn when it begins.
};

struct soak_size {
  std::size_t vms = 3;
  std::size_t endpoints = 5;
  time_span length = std::chrono::seconds(20);
};

// Endpoints are spread over this many zones.
constexpr std::size_t kSoakZones = 3;

// kStopAll tells this many VMs to stop at a time, with this pause between.
constexpr std::size_t kStopGroup = 6;
constexpr time_span kStopGroupGap = std::chrono::milliseconds(1300);

// Faults in order of time. They come in series and overlap. In most plans the
// store comes back from older copies; some of these play little else, so that
// what is left of that is seen. Changes around a restore may come after
// `size.length`.
std::vector<planned_fault> MakeFaultPlan(std::uint64_t seed,
                                         const soak_size& size);

}  // namespace papayakeel::platform

#endif  // TESTS_PLATFORM_SOAK_FAULT_PLAN_H_
