// Quantiles and JSON of a load run.
#include "misc/stand_ins/caller/load_result.h"

#include <algorithm>

namespace papayakeel {

double Quantile(std::vector<double> values, double share) {
  if (values.empty())
    return 0;
  const std::size_t rank = std::min(
      values.size() - 1,
      static_cast<std::size_t>(share * static_cast<double>(values.size())));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

nlohmann::json load_result::ToJson() const {
  return {{"calls", calls},
          {"answered", answered},
          {"not_run", not_run},
          {"unknown", unknown},
          {"broken", broken},
          {"p50_ms", Quantile(latencies_ms, 0.5)},
          {"p99_ms", Quantile(latencies_ms, 0.99)},
          {"p999_ms", Quantile(latencies_ms, 0.999)},
          {"added_p50_ms", Quantile(added_ms, 0.5)},
          {"added_p99_ms", Quantile(added_ms, 0.99)},
          {"added_p999_ms", Quantile(added_ms, 0.999)}};
}

}  // namespace papayakeel
