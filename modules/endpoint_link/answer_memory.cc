// Limits derived from the memory limit of the process.
#include "modules/endpoint_link/answer_memory.h"

#include <utility>

namespace papayakeel {

namespace {

// All answers may use 1 / kTotalDivisor of the memory limit. A body that grows
// takes up to twice its bytes, and a second copy is made when it is written, so
// that they stay within a quarter to a half.
constexpr std::size_t kTotalDivisor = 8;
// One answer may use 1 / kSingleDivisor of that.
constexpr std::size_t kSingleDivisor = 2;

}  // namespace

answer_memory::answer_memory(std::size_t memory_limit_bytes)
    : single_limit_(memory_limit_bytes / kTotalDivisor / kSingleDivisor),
      total_limit_(memory_limit_bytes / kTotalDivisor) {}

answer_share* answer_memory::FindLargest(const answer_share& taker,
                                         std::size_t bytes) const {
  answer_share* largest = nullptr;
  std::size_t most = bytes;
  for (answer_share* each : reading_) {
    if (each->endpoint_ == taker.endpoint_ || each->bytes_ == 0)
      continue;
    const std::size_t held = held_by_endpoint_.at(each->endpoint_);
    const bool is_larger = held > most || (largest != nullptr && held == most &&
                                           each->bytes_ > largest->bytes_);
    if (is_larger) {
      largest = each;
      most = held;
    }
  }
  return largest;
}

bool answer_memory::MakeRoom(const answer_share& taker, std::size_t bytes) {
  const std::size_t held_after = held_by_endpoint_[taker.endpoint_] + bytes;
  while (held_ + bytes > total_limit_) {
    answer_share* largest = FindLargest(taker, held_after);
    if (largest != nullptr)
      largest->Withdraw();
    else if (!reclaim_())
      return false;
  }
  return true;
}

answer_share::answer_share(std::shared_ptr<answer_memory> memory,
                           std::string endpoint,
                           std::function<void()> on_withdrawn)
    : memory_(std::move(memory)),
      endpoint_(std::move(endpoint)),
      on_withdrawn_(std::move(on_withdrawn)) {
  memory_->reading_.insert(this);
}

answer_share::~answer_share() {
  Complete();
  memory_->held_ -= bytes_;
}

bool answer_share::Resize(std::size_t bytes) {
  if (is_withdrawn_)
    return false;
  const bool is_growing = bytes > bytes_;
  if (is_growing && (bytes > memory_->single_limit_ ||
                     !memory_->MakeRoom(*this, bytes - bytes_))) {
    return false;
  }
  SetBytes(bytes);
  return true;
}

void answer_share::Complete() {
  if (!is_reading_)
    return;
  is_reading_ = false;
  memory_->reading_.erase(this);
  const auto held = memory_->held_by_endpoint_.find(endpoint_);
  if (held == memory_->held_by_endpoint_.end())
    return;
  held->second -= bytes_;
  if (held->second == 0)
    memory_->held_by_endpoint_.erase(held);
}

void answer_share::SetBytes(std::size_t bytes) {
  memory_->held_ += bytes - bytes_;
  if (is_reading_)
    memory_->held_by_endpoint_[endpoint_] += bytes - bytes_;
  bytes_ = bytes;
}

void answer_share::Withdraw() {
  SetBytes(0);
  is_withdrawn_ = true;
  ++memory_->withdrawn_total_;
  on_withdrawn_();
}

}  // namespace papayakeel
