// Defects that the soak builds into its own doubles, to show that its checks
// find them.
#ifndef MISC_SOAK_MUTATION_H_
#define MISC_SOAK_MUTATION_H_

#include <array>
#include <optional>
#include <string_view>

namespace papayakeel::soak {

enum class mutation {
  kNone,
  kUndividedProbeBudget,
  kProbeRepeated,
  kAnyAnswerAccepted,
  kFragmentForwarded,
  kRefusalNotRecorded,
  kUnknownToldAsNotRun,
  kEpochReused,
  kForeignEpochRun,
  kOnceOnlyHedged,
  kLeavingIgnored,
  kClosedOnDrain,
  kOlderBundleAccepted,
  kBundleNotSpread,
};

struct mutation_info {
  mutation kind;
  const char* name;
  const char* invariant;  // The one that must break.
  const char* description;
};

inline constexpr std::array<mutation_info, 13> kMutations{{
    {mutation::kUndividedProbeBudget, "undivided_probe_budget", "I1",
     "each entry VM spends the whole probe budget"},
    {mutation::kProbeRepeated, "probe_repeated", "I1",
     "each probe that the budget allows is sent eight times"},
    {mutation::kAnyAnswerAccepted, "any_answer_accepted", "I2",
     "answers are matched to requests by order alone"},
    {mutation::kFragmentForwarded, "fragment_forwarded", "I2",
     "a truncated answer counts as complete"},
    {mutation::kRefusalNotRecorded, "refusal_not_recorded", "I3",
     "early refusals say not run without asking the ledger"},
    {mutation::kUnknownToldAsNotRun, "unknown_told_as_not_run", "I3",
     "an unknown outcome is told as not run"},
    {mutation::kEpochReused, "epoch_reused", "I4",
     "a replaced process takes its predecessor's epoch"},
    {mutation::kForeignEpochRun, "foreign_epoch_run", "I4",
     "a key of an unknown epoch is run"},
    {mutation::kOnceOnlyHedged, "once_only_hedged", "I4",
     "once-only calls are dispatched like idempotent ones"},
    {mutation::kLeavingIgnored, "leaving_ignored", "I5",
     "no sign of leaving reaches the dispatcher"},
    {mutation::kClosedOnDrain, "closed_on_drain", "I6",
     "connections to a leaving server are closed at once"},
    {mutation::kOlderBundleAccepted, "older_bundle_accepted", "I7",
     "any validly signed bundle is put in force"},
    {mutation::kBundleNotSpread, "bundle_not_spread", "I7",
     "bundles are read by one entry VM and not passed on"},
}};

inline std::optional<mutation> FindMutation(std::string_view name) {
  for (const mutation_info& each : kMutations) {
    if (name == each.name)
      return each.kind;
  }
  return std::nullopt;
}

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_MUTATION_H_
