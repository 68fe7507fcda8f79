// Moving averages of response sizes and transfer times.
#include "servers/scheduling/answer_size_estimate.h"

#include <algorithm>

namespace papayakeel {

namespace {

// Weight of the newest response in the averages. Until this many responses are
// known, the averages are plain means, so that the first one does not prevail.
constexpr double kWeight = 0.05;
constexpr int kMeanSamples = 20;

// Transfers that take less than this on an idle link arrive with few reads, and
// their time says little about the link.
constexpr time_span kMinMeasuredTransfer = std::chrono::milliseconds(5);

// Bound of one sample of the crowding. A larger ratio comes from an endpoint
// that stopped during the transfer.
constexpr double kMaxCrowding = 10;

// Bound of a transfer time, which keeps sums with it in range.
constexpr double kMaxTransferMs = 3'600'000;

double TimeOnIdleLinkMs(double bytes, std::uint64_t link_bytes_per_second) {
  if (link_bytes_per_second == 0)
    return 0;
  return bytes * 1000 / static_cast<double>(link_bytes_per_second);
}

}  // namespace

void answer_size_estimate::Add(const answer_transfer& transfer,
                               std::uint64_t link_bytes_per_second) {
  samples_ = std::min(samples_ + 1, kMeanSamples);
  const double weight = std::max(kWeight, 1.0 / samples_);
  const double bytes = static_cast<double>(transfer.bytes);
  bytes_ += weight * (bytes - bytes_);
  const double idle_ms = TimeOnIdleLinkMs(bytes, link_bytes_per_second);
  if (idle_ms < ToMilliseconds(kMinMeasuredTransfer))
    return;
  const double ratio = ToMilliseconds(transfer.elapsed) / idle_ms;
  crowding_ += kWeight * (std::clamp(ratio, 1.0, kMaxCrowding) - crowding_);
}

time_span answer_size_estimate::TransferTimeOf(
    std::uint64_t bytes,
    std::uint64_t link_bytes_per_second) const {
  const double idle_ms =
      TimeOnIdleLinkMs(static_cast<double>(bytes), link_bytes_per_second);
  return FromMilliseconds(std::min(idle_ms * crowding_, kMaxTransferMs));
}

}  // namespace papayakeel
