// A point in the history of the platform's store.
#ifndef MODULES_STATE_FEED_STORE_POSITION_H_
#define MODULES_STATE_FEED_STORE_POSITION_H_

#include <cstdint>
#include <tuple>

namespace papayakeel {

// A store that is restored from an older copy issues revisions a second time,
// so revisions are comparable only within one era.
struct store_position {
  std::uint64_t era = 0;  // Rises with each restore; 0 if the store has none.
  std::uint64_t revision = 0;
};

inline bool operator<(const store_position& left, const store_position& right) {
  return std::tie(left.era, left.revision) <
         std::tie(right.era, right.revision);
}

}  // namespace papayakeel

#endif  // MODULES_STATE_FEED_STORE_POSITION_H_
