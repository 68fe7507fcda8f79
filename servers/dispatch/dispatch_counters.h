// Cumulative counters of a dispatcher, exported as metrics.
#ifndef SERVERS_DISPATCH_DISPATCH_COUNTERS_H_
#define SERVERS_DISPATCH_DISPATCH_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "servers/dispatch/call_result.h"

namespace papayakeel {

struct dispatch_counters {
  static constexpr std::size_t kReasons =
      static_cast<std::size_t>(refusal_reason::kTooLate) + 1;

  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t attempts = 0;  // Includes hedges and retries.
  std::uint64_t hedges = 0;
  std::uint64_t hedge_wins = 0;
  std::uint64_t retries = 0;
  std::uint64_t probes = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t ejections = 0;
  std::uint64_t readmissions = 0;
  std::uint64_t stale_connections = 0;
  // Calls that ended without an answer, by `refusal_reason`.
  std::array<std::uint64_t, kReasons> refusals{};

  std::uint64_t refused(refusal_reason reason) const {
    return refusals[static_cast<std::size_t>(reason)];
  }
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_DISPATCH_COUNTERS_H_
