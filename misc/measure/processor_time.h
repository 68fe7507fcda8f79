// Processor time of short functions.
#ifndef MISC_MEASURE_PROCESSOR_TIME_H_
#define MISC_MEASURE_PROCESSOR_TIME_H_

#include <functional>

namespace papayakeel::measure {

// Returns the processor time of this process that one call of `body` takes, in
// microseconds: the median of several repetitions, each of which calls `body`
// for at least 50 ms of processor time.
double MeasureMicroseconds(const std::function<void()>& body);

}  // namespace papayakeel::measure

#endif  // MISC_MEASURE_PROCESSOR_TIME_H_
