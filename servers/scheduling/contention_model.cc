// Estimates of the ratio of elapsed to usual time by share of slots in use.
#include "servers/scheduling/contention_model.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace papayakeel {

namespace {

// Quantile of the ratios at a level. Long requests and slow phases that began
// before the start raise the mean, and they hardly move this quantile.
constexpr double kQuantile = 0.5;

// Step of the estimate for the first sample and for later ones. The slowdown is
// a property of the service and rarely changes.
constexpr double kFirstStep = 0.1;
constexpr double kMinStep = 0.02;
constexpr double kStepDecay = 0.05;

// Assumed slowdown above this share of the slots before the first response. A
// service that starts at full load has no starts without contention to compare
// with, and it would take the slow starts for the usual ones.
constexpr double kInitialFactor = 1.7;
constexpr double kInitialContendedShare = 0.8;
constexpr double kMaxFactor = 2.5;

// A level with fewer recent samples is no reference for the others: its ratios
// may be relative to an outdated estimate of the work.
constexpr double kMinReferenceSamples = 5;
constexpr double kRecentSamplesDecay = 0.999;

// Slowdowns up to this one are within the noise of the estimates.
constexpr double kNegligibleFactor = 1.2;

}  // namespace

contention_model::contention_model() {
  for (int index = 0; index <= kLevels; ++index) {
    factors_[index] =
        index > kInitialContendedShare * kLevels ? kInitialFactor : 1;
    levels_[index].log_ratio = std::log(factors_[index]);
  }
  Tabulate();
}

void contention_model::level::Add(double log_sample) {
  const double step =
      std::max(kMinStep, kFirstStep / (1 + kStepDecay * samples));
  log_ratio += step * (log_sample > log_ratio ? kQuantile : kQuantile - 1);
  ++samples;
  ++recent_samples;
}

int contention_model::LevelOf(int used, int slots) {
  if (used >= slots)
    return kLevels;
  const int rounded = (used * kLevels + slots / 2) / slots;
  return used <= 1 ? kLevels / 2
                   : std::clamp(rounded, kLevels / 2, kLevels - 1);
}

void contention_model::Add(int used, int slots, double ratio) {
  if (slots <= 1 || ratio <= 0)
    return;
  for (level& each : levels_)
    each.recent_samples *= kRecentSamplesDecay;
  levels_[LevelOf(used, slots)].Add(std::log(ratio));
  UpdateFactors();
}

void contention_model::UpdateFactors() {
  // The reference is the fastest level without contention. A fixed one would
  // not do: at a steady high load only the upper levels get samples, and if
  // their work was taken for usual once, only the difference between them shows
  // the error. While all starts are contended there is nothing to compare with,
  // and the factors stay.
  std::optional<double> reference;
  for (int index = 0; index <= kLevels; ++index) {
    const level& each = levels_[index];
    if (each.recent_samples < kMinReferenceSamples ||
        factors_[index] > kNegligibleFactor)
      continue;
    reference = std::min(reference.value_or(each.log_ratio), each.log_ratio);
  }
  if (!reference)
    return;
  for (int index = 0; index <= kLevels; ++index) {
    const double factor = index <= kLevels / 2
                              ? 1
                              : std::exp(levels_[index].log_ratio - *reference);
    factors_[index] = std::clamp(factor, 1.0, kMaxFactor);
  }
  Tabulate();
}

void contention_model::Tabulate() {
  for (int slots = 0; slots <= kMaxTabulatedSlots; ++slots)
    uncontended_slots_[slots] = CountUncontendedSlots(slots);
}

double contention_model::Factor(int used, int slots) const {
  return used <= 1 ? 1 : factors_[LevelOf(used, slots)];
}

bool contention_model::IsContended(int used, int slots) const {
  return Factor(used, slots) > kNegligibleFactor;
}

int contention_model::CountUncontendedSlots(int slots) const {
  int uncontended = std::min(slots, 1);
  while (uncontended < slots && !IsContended(uncontended + 1, slots))
    ++uncontended;
  return uncontended;
}

int contention_model::UsefulSlots(int slots) const {
  int best = slots;
  for (int used = slots - 1; used >= 1; --used) {
    if (used * Factor(best, slots) > best * Factor(used, slots))
      best = used;
  }
  return best;
}

}  // namespace papayakeel
