// Estimate of the size of the responses of a work class, and of the time that
// they take on the link of an entry VM.
#ifndef SERVERS_SCHEDULING_ANSWER_SIZE_ESTIMATE_H_
#define SERVERS_SCHEDULING_ANSWER_SIZE_ESTIMATE_H_

#include <cstdint>

#include "core/monotonic_time.h"
#include "servers/scheduling/attempt_outcome.h"

namespace papayakeel {

class answer_size_estimate {
 public:
  // Adds one complete response that arrived over a link of
  // `link_bytes_per_second` (0 when unknown).
  void Add(const answer_transfer& transfer,
           std::uint64_t link_bytes_per_second);

  // Mean size of the response body; 0 before the first response.
  std::uint64_t bytes() const { return static_cast<std::uint64_t>(bytes_); }

  // Mean time of a transfer relative to its time on an idle link; at least 1.
  double crowding() const { return crowding_; }

  // Expected time of the transfer of one response over a link of this speed; 0
  // when the speed is unknown.
  time_span TransferTime(std::uint64_t link_bytes_per_second) const {
    return TransferTimeOf(bytes(), link_bytes_per_second);
  }
  // The same for a response whose size is known.
  time_span TransferTimeOf(std::uint64_t bytes,
                           std::uint64_t link_bytes_per_second) const;

 private:
  int samples_ = 0;  // Up to the number that the newest weight stands for.
  double bytes_ = 0;
  double crowding_ = 1;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_ANSWER_SIZE_ESTIMATE_H_
