// Memory that all answers of endpoints may take together, from the first byte
// that is read until the answer is written to its caller.
#ifndef MODULES_ENDPOINT_LINK_ANSWER_MEMORY_H_
#define MODULES_ENDPOINT_LINK_ANSWER_MEMORY_H_

#include <cstddef>
#include <memory>

namespace papayakeel {

class answer_memory {
 public:
  explicit answer_memory(std::size_t memory_limit_bytes);

  // Maximum size of one answer, in bytes of its header, body and framing.
  std::size_t single_limit() const { return single_limit_; }
  std::size_t held() const { return held_; }

 private:
  friend class answer_share;

  const std::size_t single_limit_;
  const std::size_t total_limit_;
  std::size_t held_ = 0;
};

// What one answer holds of the memory; gives it back when destroyed.
class answer_share {
 public:
  explicit answer_share(std::shared_ptr<answer_memory> memory);
  ~answer_share();
  answer_share(const answer_share&) = delete;
  answer_share& operator=(const answer_share&) = delete;

  // Makes the share `bytes` large. Returns false, and changes nothing, if that
  // exceeds the limit of one answer or of all answers.
  bool Resize(std::size_t bytes);

 private:
  const std::shared_ptr<answer_memory> memory_;
  std::size_t bytes_ = 0;
};

}  // namespace papayakeel

#endif  // MODULES_ENDPOINT_LINK_ANSWER_MEMORY_H_
