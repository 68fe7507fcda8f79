// Outcomes and latencies of a load run.
#ifndef MISC_STAND_INS_CALLER_LOAD_RESULT_H_
#define MISC_STAND_INS_CALLER_LOAD_RESULT_H_

#include <cstdint>
#include <vector>

#include <nlohmann/json.hpp>

namespace papayakeel {

struct load_result {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t broken = 0;  // No whole response.
  // From the scheduled start, in milliseconds; answered calls only.
  std::vector<double> latencies_ms;
  // Latency less the time that the server states in Server-Timing.
  std::vector<double> added_ms;

  nlohmann::json ToJson() const;
};

// Returns the `share` quantile (0 to 1) of `values`, or 0 when empty.
double Quantile(std::vector<double> values, double share);

}  // namespace papayakeel

#endif  // MISC_STAND_INS_CALLER_LOAD_RESULT_H_
