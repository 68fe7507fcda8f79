// One measured figure.
#ifndef MISC_MEASURE_MEASUREMENT_H_
#define MISC_MEASURE_MEASUREMENT_H_

#include <map>
#include <string>

namespace papayakeel::measure {

struct measurement {
  std::string name;  // What was measured, for example "order_entry_vms".
  std::map<std::string, double> sizes;  // For example entry_vms = 15.
  double value = 0;
  std::string unit;  // For example "us" or "bytes".
};

}  // namespace papayakeel::measure

#endif  // MISC_MEASURE_MEASUREMENT_H_
