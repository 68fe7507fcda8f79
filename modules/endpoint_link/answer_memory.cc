// Limits derived from the memory limit of the process.
#include "modules/endpoint_link/answer_memory.h"

#include <utility>

namespace papayakeel {

namespace {

// All answers may use 1 / kTotalDivisor of the memory limit. A body that grows
// without a stated length takes up to twice its bytes, and a second copy is
// made when it is written, so that they stay within a quarter to a half.
constexpr std::size_t kTotalDivisor = 8;
// One answer may use 1 / kSingleDivisor of that, so that one endless answer
// leaves room for the others.
constexpr std::size_t kSingleDivisor = 2;

}  // namespace

answer_memory::answer_memory(std::size_t memory_limit_bytes)
    : single_limit_(memory_limit_bytes / kTotalDivisor / kSingleDivisor),
      total_limit_(memory_limit_bytes / kTotalDivisor) {}

answer_share::answer_share(std::shared_ptr<answer_memory> memory)
    : memory_(std::move(memory)) {}

answer_share::~answer_share() {
  memory_->held_ -= bytes_;
}

bool answer_share::Resize(std::size_t bytes) {
  const std::size_t others = memory_->held_ - bytes_;
  const bool is_growing = bytes > bytes_;
  if (is_growing && (bytes > memory_->single_limit_ ||
                     others + bytes > memory_->total_limit_)) {
    return false;
  }
  memory_->held_ = others + bytes;
  bytes_ = bytes;
  return true;
}

}  // namespace papayakeel
