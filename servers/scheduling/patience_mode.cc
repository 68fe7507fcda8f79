// Most frequent limit of a route.
#include "servers/scheduling/patience_mode.h"

#include <cstddef>
#include <iterator>

namespace papayakeel {

namespace {

// Limits that are counted at a time; rare ones are forgotten beyond it.
constexpr std::size_t kMaxCounts = 64;

}  // namespace

time_span patience_mode::Add(std::chrono::milliseconds limit) {
  const std::int64_t value = limit.count();
  if (counts_.size() >= kMaxCounts && counts_.count(value) == 0) {
    for (auto each = counts_.begin(); each != counts_.end();) {
      each->second /= 2;
      each = each->second == 0 ? counts_.erase(each) : std::next(each);
    }
  }
  const std::uint32_t count = ++counts_[value];
  const auto usual = counts_.find(usual_);
  if (usual == counts_.end() || count > usual->second)
    usual_ = value;
  if (value >= usual_)
    return time_span(0);
  return std::chrono::milliseconds(usual_ - value);
}

}  // namespace papayakeel
