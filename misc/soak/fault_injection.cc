// Faults of a run: each kind comes singly, together with others and twice.
#include <algorithm>

#include "misc/soak/soak_world.h"

namespace papayakeel::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// After all kinds have come, the fleet gets time in which the promises about
// calm times apply.
constexpr time_span kCalm = seconds(28);

constexpr double kHighBudgetMs = 12;
constexpr double kLowBudgetMs = 6;

}  // namespace

void soak_world::ScheduleFaults() {
  if (crowd_.counts().calls >= calls_wanted_)
    return;
  if (bag_.empty()) {
    for (std::size_t each = 0; each < kFaults; ++each)
      bag_.push_back(static_cast<fault>(each));
    // Drains concern few requests each, so they come more often.
    for (int each = 0; each < 3; ++each) {
      bag_.push_back(fault::kDrain);
      bag_.push_back(fault::kGracefulStop);
    }
    for (std::size_t last = bag_.size(); last > 1; --last)
      std::swap(bag_[last - 1], bag_[random_.Below(last)]);
  }
  const std::size_t together = random_.Chance(0.4) ? 1 + random_.Below(3) : 1;
  for (std::size_t each = 0; each < together && !bag_.empty(); ++each) {
    const fault kind = bag_.back();
    bag_.pop_back();
    Inject(kind);
    if (random_.Chance(0.15)) {
      ++repeated_faults_;
      time_.After(random_.Between(milliseconds(0), milliseconds(500)),
                  [this, kind] { Inject(kind); });
    }
  }
  const time_span gap =
      bag_.empty() ? kCalm : random_.Between(milliseconds(300), seconds(3));
  time_.After(gap, [this] { ScheduleFaults(); });
}

void soak_world::Inject(fault kind) {
  const std::size_t index = static_cast<std::size_t>(kind);
  ++fault_counts_[index];
  if (active_faults_ > 0)
    ++combined_faults_;
  trace_.Add(now(), kFaultNames[index], fault_counts_[index]);
  const time_span length = random_.Between(milliseconds(500), seconds(9));
  switch (kind) {
    case fault::kStraggler:
    case fault::kDrain:
    case fault::kGracefulStop:
    case fault::kFailFast:
    case fault::kColdStart:
    case fault::kSilentConnections:
      return InjectServerFault(kind, length);
    case fault::kConfigurationDown:
    case fault::kConfigurationStale:
    case fault::kConfigurationGoesBack:
    case fault::kVmListStale:
    case fault::kPlatformPartitioned:
      return InjectPlatformFault(kind, length);
    case fault::kEntryPaused:
    case fault::kEntryRestarted:
    case fault::kFleetReplaced:
    case fault::kEntriesPartitioned:
    case fault::kCallersPartitioned:
      return InjectEntryFault(kind, length);
    case fault::kLateAnswers:
    case fault::kDuplicateAnswers:
    case fault::kCrossedAnswers:
    case fault::kTruncatedAnswers:
      ++active_answer_faults_[index];
      return HoldFault(length / 3,
                       [this, index] { --active_answer_faults_[index]; });
    case fault::kTrafficPeak:
      is_peak_ = true;
      return HoldFault(milliseconds(600), [this] { is_peak_ = false; });
    case fault::kBundlePublished:
    case fault::kBundleConflict:
    case fault::kProbeBudgetLowered:
      return Publish(kind);
  }
}

void soak_world::HoldFault(time_span length, const std::function<void()>& end) {
  ++active_faults_;
  time_.After(length, [this, end] {
    --active_faults_;
    end();
  });
}

void soak_world::InjectServerFault(fault kind, time_span length) {
  switch (kind) {
    case fault::kStraggler:
      RandomServer()->BeSlow(length / 3);
      return HoldFault(length / 3, [] {});
    case fault::kFailFast:
      RandomServer()->FailFast(length * 3);
      return HoldFault(length * 3, [] {});
    case fault::kDrain:
      LetServerLeave(seconds(7) + length, false);
      return HoldFault(seconds(7) + length, [] {});
    case fault::kGracefulStop:
      LetServerLeave(time_span(0), true);
      return;
    case fault::kColdStart:
      AddServer(random_.Chance(0.5) ? "bokning" : "releasedesk", true);
      return;
    default:
      RandomServer()->SilenceConnections();
      return;
  }
}

void soak_world::InjectPlatformFault(fault kind, time_span length) {
  platform_disturbed_at_ = now();
  const auto end = [this, kind] {
    platform_disturbed_at_ = now();
    if (kind == fault::kConfigurationDown)
      platform_.set_is_down(false);
    if (kind == fault::kConfigurationStale)
      platform_.SetStale(false);
    if (kind == fault::kConfigurationGoesBack)
      platform_.set_goes_back(false);
    if (kind == fault::kVmListStale)
      platform_.SetVmListStale(false);
    if (kind == fault::kPlatformPartitioned)
      cut_from_platform_.clear();
  };
  if (kind == fault::kConfigurationDown)
    platform_.set_is_down(true);
  if (kind == fault::kConfigurationStale)
    platform_.SetStale(true);
  if (kind == fault::kConfigurationGoesBack)
    platform_.set_goes_back(true);
  if (kind == fault::kVmListStale)
    platform_.SetVmListStale(true);
  if (kind == fault::kPlatformPartitioned)
    cut_from_platform_.insert(random_.Below(slots_.size()));
  HoldFault(length * 2, end);
}

void soak_world::InjectEntryFault(fault kind, time_span length) {
  const std::size_t chosen = random_.Below(slots_.size());
  switch (kind) {
    case fault::kEntryPaused:
      PauseProcess(chosen, length);
      return HoldFault(length, [] {});
    case fault::kEntryRestarted:
      return ReplaceProcess(chosen, length / 5);
    case fault::kFleetReplaced:
      for (std::size_t each = 0; each < slots_.size(); ++each) {
        time_.After(seconds(3) * static_cast<int>(each),
                    [this, each] { ReplaceProcess(each, milliseconds(500)); });
      }
      return HoldFault(seconds(3) * static_cast<int>(slots_.size()), [] {});
    case fault::kEntriesPartitioned:
      for (std::size_t each = 0; each < slots_.size(); ++each)
        groups_[each] = static_cast<int>(random_.Below(2));
      ++fleet_disturbances_;
      fleet_disturbed_at_ = now();
      return HoldFault(length * 2, [this] {
        std::fill(groups_.begin(), groups_.end(), 0);
        --fleet_disturbances_;
        fleet_disturbed_at_ = now();
      });
    default:
      cut_from_callers_.insert(chosen);
      return HoldFault(length, [this] { cut_from_callers_.clear(); });
  }
}

void soak_world::Publish(fault kind) {
  const double budget =
      kind == fault::kProbeBudgetLowered ? kLowBudgetMs : kHighBudgetMs;
  const signed_bundle made = office_.SignNext(budget);
  platform_.Publish(made.published);
  published_at_ = now();
  published_rank_ = made.rank;
  budgets_[made.rank] = budget;
  if (kind == fault::kBundleConflict) {
    const signed_bundle other = office_.SignConflicting(budget);
    budgets_[other.rank] = budget;
    // The other operator hands it to an entry VM.
    const std::size_t vm = random_.Below(slots_.size());
    if (slots_[vm].process) {
      DeliverToProcess(vm, slots_[vm].process->id(), milliseconds(5),
                       [this, vm, other] {
                         slots_[vm].process->OnConfiguration(other.published);
                       });
    }
  }
  UpdateProbeBudget();
}

}  // namespace papayakeel::soak
