// Selection, accounting and eviction of queued calls.
#include "servers/dispatch/call_queue.h"

#include <algorithm>

namespace papayakeel {

namespace {

// Fraction of dispatches, and of the places in a full queue, that is reserved
// for calls of lower importance while more important calls are queued.
constexpr double kLowerImportanceShare = 0.1;

std::size_t LevelOf(int importance) {
  return static_cast<std::size_t>(
      std::clamp(importance, 0, call_queue::kLevels - 1));
}

}  // namespace

void call_queue::Push(call_id id,
                      int importance,
                      std::uint64_t sequence_number) {
  if (levels_[LevelOf(importance)].emplace(sequence_number, id).second)
    ++size_;
}

void call_queue::Remove(int importance, std::uint64_t sequence_number) {
  size_ -= levels_[LevelOf(importance)].erase(sequence_number);
}

std::optional<call_id> call_queue::Next() const {
  const std::optional<place> next = NextPlace();
  if (!next)
    return std::nullopt;
  return levels_[static_cast<std::size_t>(next->level)].at(
      next->sequence_number);
}

void call_queue::PopNext() {
  const std::optional<place> next = NextPlace();
  if (!next)
    return;
  const auto chosen = levels_.begin() + next->level;
  const bool has_higher =
      std::any_of(levels_.begin(), chosen,
                  [](const auto& level) { return !level.empty(); });
  const bool has_lower =
      std::any_of(chosen + 1, levels_.end(),
                  [](const auto& level) { return !level.empty(); });
  if (has_higher) {
    lower_importance_credit_ -= 1;
  } else if (has_lower) {
    lower_importance_credit_ += kLowerImportanceShare;
  }
  lower_importance_credit_ = std::clamp(lower_importance_credit_, 0.0, 1.0);
  Remove(next->level, next->sequence_number);
}

std::optional<call_id> call_queue::EvictionCandidate(int importance,
                                                     std::size_t limit) const {
  const auto lower =
      levels_.begin() + static_cast<std::ptrdiff_t>(LevelOf(importance)) + 1;
  const auto used = std::count_if(
      lower, levels_.end(), [](const auto& level) { return !level.empty(); });
  const double places = kLowerImportanceShare * static_cast<double>(limit) /
                        static_cast<double>(std::max<std::ptrdiff_t>(used, 1));
  for (auto level = levels_.rbegin(); level != levels_.rend(); ++level) {
    if (level.base() <= lower)
      break;
    if (static_cast<double>(level->size()) > places)
      return level->rbegin()->second;
  }
  return std::nullopt;
}

std::size_t call_queue::CountAhead(int importance) const {
  std::size_t count = 0;
  for (std::size_t level = 0; level <= LevelOf(importance); ++level)
    count += levels_[level].size();
  return count;
}

std::optional<call_queue::place> call_queue::NextPlace() const {
  std::optional<place> highest;
  std::optional<place> oldest_lower;
  for (int level = 0; level < kLevels; ++level) {
    const auto& calls = levels_[static_cast<std::size_t>(level)];
    if (calls.empty())
      continue;
    const place first{level, calls.begin()->first};
    if (!highest) {
      highest = first;
    } else if (!oldest_lower ||
               first.sequence_number < oldest_lower->sequence_number) {
      oldest_lower = first;
    }
  }
  // The tolerance covers the rounding error of adding the share ten times.
  const bool has_full_credit = lower_importance_credit_ >= 1 - 1e-9;
  return has_full_credit && oldest_lower ? oldest_lower : highest;
}

}  // namespace papayakeel
