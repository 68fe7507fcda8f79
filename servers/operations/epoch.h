// Random 128-bit number that identifies the process allowed to run the
// operations whose keys contain it.
#ifndef SERVERS_OPERATIONS_EPOCH_H_
#define SERVERS_OPERATIONS_EPOCH_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace papayakeel {

struct epoch {
  // Number of hexadecimal digits in the text form.
  static constexpr std::size_t kTextLength = 32;

  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // Returns 32 lower-case hexadecimal digits.
  std::string ToString() const;

  // Parses exactly 32 hexadecimal digits of either case.
  static std::optional<epoch> Parse(std::string_view text);

  friend bool operator==(const epoch& left, const epoch& right) {
    return left.high == right.high && left.low == right.low;
  }
  friend bool operator!=(const epoch& left, const epoch& right) {
    return !(left == right);
  }
};

// Generates a new epoch. The daemon must use a cryptographically secure
// generator because the epoch of another process must not be guessable.
using epoch_source = std::function<epoch()>;

}  // namespace papayakeel

#endif  // SERVERS_OPERATIONS_EPOCH_H_
