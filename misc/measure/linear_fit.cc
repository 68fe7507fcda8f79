// Ordinary least squares.
#include "misc/measure/linear_fit.h"

namespace papayakeel::measure {

linear_fit linear_fit::Of(
    const std::vector<std::pair<double, double>>& points) {
  const auto count = static_cast<double>(points.size());
  double mean_size = 0;
  double mean_value = 0;
  for (const auto& [size, value] : points) {
    mean_size += size / count;
    mean_value += value / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const auto& [size, value] : points) {
    covariance += (size - mean_size) * (value - mean_value);
    variance += (size - mean_size) * (size - mean_size);
  }
  linear_fit fit;
  fit.slope = covariance / variance;
  fit.intercept = mean_value - fit.slope * mean_size;
  return fit;
}

}  // namespace papayakeel::measure
