// Ring of events.
#include "misc/soak/event_trace.h"

namespace papayakeel::soak {

namespace {

constexpr std::size_t kEntries = 80;

}  // namespace

void event_trace::Add(monotonic_time at,
                      const char* what,
                      std::uint64_t first,
                      std::uint64_t second) {
  const entry added{at, what, first, second};
  if (entries_.size() < kEntries) {
    entries_.push_back(added);
    return;
  }
  entries_[next_] = added;
  next_ = (next_ + 1) % kEntries;
}

std::string event_trace::ToString() const {
  std::string text;
  for (std::size_t each = 0; each < entries_.size(); ++each) {
    const entry& shown = entries_[(next_ + each) % entries_.size()];
    text += std::to_string(ToMilliseconds(shown.at.time_since_epoch()));
    text += " ms ";
    text += shown.what;
    text += " " + std::to_string(shown.first);
    text += " " + std::to_string(shown.second) + "\n";
  }
  return text;
}

}  // namespace papayakeel::soak
