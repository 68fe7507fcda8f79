// Kinds of faults that a soak run injects.
#ifndef MISC_SOAK_FAULT_H_
#define MISC_SOAK_FAULT_H_

#include <array>
#include <cstddef>

namespace papayakeel::soak {

enum class fault {
  kStraggler,
  kDrain,
  kGracefulStop,
  kFailFast,
  kColdStart,
  kConfigurationDown,
  kConfigurationStale,
  kConfigurationGoesBack,
  kVmListStale,
  kEntryPaused,
  kEntryRestarted,
  kFleetReplaced,
  kEntriesPartitioned,
  kCallersPartitioned,
  kPlatformPartitioned,
  kSilentConnections,
  kLateAnswers,
  kDuplicateAnswers,
  kCrossedAnswers,
  kTruncatedAnswers,
  kTrafficPeak,
  kBundlePublished,
  kBundleConflict,
  kProbeBudgetLowered,
};

inline constexpr std::array<const char*, 24> kFaultNames{
    "straggler",
    "drain",
    "graceful_stop",
    "fail_fast",
    "cold_start",
    "configuration_down",
    "configuration_stale",
    "configuration_goes_back",
    "vm_list_stale",
    "entry_paused",
    "entry_restarted",
    "fleet_replaced",
    "entries_partitioned",
    "callers_partitioned",
    "platform_partitioned",
    "silent_connections",
    "late_answers",
    "duplicate_answers",
    "crossed_answers",
    "truncated_answers",
    "traffic_peak",
    "bundle_published",
    "bundle_conflict",
    "probe_budget_lowered",
};
inline constexpr std::size_t kFaults = kFaultNames.size();

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_FAULT_H_
