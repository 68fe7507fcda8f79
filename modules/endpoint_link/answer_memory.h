// Memory that all answers of endpoints may take together, from the first byte
// that is read until the answer is written to its caller.
//
// When it is used up, answers that are still being read give way: those of the
// endpoint that holds most go first. Complete answers give way after them, and
// only those of callers that have stopped reading. So whatever faulty endpoints
// send, an answer is sure of the memory that complete answers of reading
// callers leave, divided by the number of endpoints whose answers are being
// read.
#ifndef MODULES_ENDPOINT_LINK_ANSWER_MEMORY_H_
#define MODULES_ENDPOINT_LINK_ANSWER_MEMORY_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace papayakeel {

class answer_share;

class answer_memory {
 public:
  explicit answer_memory(std::size_t memory_limit_bytes);

  // Maximum size of one answer, in bytes of its header, body and framing.
  std::size_t single_limit() const { return single_limit_; }
  std::size_t total_limit() const { return total_limit_; }
  std::size_t held() const { return held_; }
  // Sets what frees memory of complete answers, and returns whether it has. It
  // must not end an exchange before it returns.
  void SetReclaimHook(std::function<bool()> reclaim) {
    reclaim_ = std::move(reclaim);
  }
  // Answers that gave way to others.
  std::uint64_t withdrawn_total() const { return withdrawn_total_; }

 private:
  friend class answer_share;

  // Takes shares back until `taker` can grow by `bytes`. Returns false if that
  // is not enough: no other endpoint holds more than that of `taker` would, and
  // no complete answer gives way.
  bool MakeRoom(const answer_share& taker, std::size_t bytes);
  // The largest share of the endpoint that holds most, without that of `taker`.
  // Null if none holds more than `bytes`.
  answer_share* FindLargest(const answer_share& taker, std::size_t bytes) const;

  const std::size_t single_limit_;
  const std::size_t total_limit_;
  std::function<bool()> reclaim_ = [] { return false; };
  std::size_t held_ = 0;
  // Answers that are being read, and their bytes by endpoint. Endpoints that
  // hold none need no entry.
  std::set<answer_share*> reading_;
  std::map<std::string, std::size_t> held_by_endpoint_;
  std::uint64_t withdrawn_total_ = 0;
};

// What one answer holds of the memory; gives it back when destroyed.
class answer_share {
 public:
  // The share of an answer of `endpoint` that is being read. `on_withdrawn` is
  // called at most once, when the share has been taken back; it must not use
  // the memory or end the answer before it returns.
  answer_share(std::shared_ptr<answer_memory> memory,
               std::string endpoint,
               std::function<void()> on_withdrawn);
  ~answer_share();
  answer_share(const answer_share&) = delete;
  answer_share& operator=(const answer_share&) = delete;

  // Makes the share `bytes` large, for which others may be taken back. Returns
  // false, and leaves it as it is, if that exceeds the limit of one answer, if
  // the share itself has been taken back, or if there is no room for it.
  bool Resize(std::size_t bytes);

  // The answer is complete. Its share is not taken back any more; the hook for
  // complete answers may end it.
  void Complete();

 private:
  friend class answer_memory;

  void SetBytes(std::size_t bytes);
  // Takes the share back.
  void Withdraw();

  const std::shared_ptr<answer_memory> memory_;
  const std::string endpoint_;
  const std::function<void()> on_withdrawn_;
  std::size_t bytes_ = 0;
  bool is_reading_ = true;
  bool is_withdrawn_ = false;
};

}  // namespace papayakeel

#endif  // MODULES_ENDPOINT_LINK_ANSWER_MEMORY_H_
