// Least squares line through measured points.
#ifndef MISC_MEASURE_LINEAR_FIT_H_
#define MISC_MEASURE_LINEAR_FIT_H_

#include <utility>
#include <vector>

namespace papayakeel::measure {

struct linear_fit {
  double slope = 0;
  double intercept = 0;

  // `points` are (size, value); at least two different sizes.
  static linear_fit Of(const std::vector<std::pair<double, double>>& points);
};

}  // namespace papayakeel::measure

#endif  // MISC_MEASURE_LINEAR_FIT_H_
