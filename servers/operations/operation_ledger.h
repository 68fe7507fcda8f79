// Decides for each at-most-once request whether this process runs it, and
// records the outcome for retries. Only the process whose current epoch is part
// of the key may run an operation, so processes need no consensus. The ledger
// uses no sockets, clocks or threads.
//
// Use by a gateway:
// 1. Call `Begin` for each request that carries a key, after reading its body.
// 2. On kRun, send the request and report its result with one `Complete...`
//    call. When the caller disconnects, call `Leave` and let the request run.
//    `finish_waiter` delivers the result to the first caller and to callers
//    that joined.
// 3. For a request refused before `Begin` (too many buffered bytes, a body over
//    its limit, a missing body), call `RecordRefusal`. Report "not run" only
//    when it returns kNotRun, because another copy may have run.
// 4. Call `Advance` when the time returned by `NextDeadline` has passed.
#ifndef SERVERS_OPERATIONS_OPERATION_LEDGER_H_
#define SERVERS_OPERATIONS_OPERATION_LEDGER_H_

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include "core/monotonic_time.h"
#include "servers/operations/epoch.h"
#include "servers/operations/ledger_hooks.h"
#include "servers/operations/ledger_settings.h"
#include "servers/operations/operation_decision.h"
#include "servers/operations/operation_key.h"
#include "servers/operations/operation_refusal.h"
#include "servers/operations/operation_request.h"

namespace papayakeel {

class operation_ledger {
 public:
  using begin_result = tl::expected<operation_decision, operation_refusal>;

  // Generates and opens the first epoch.
  operation_ledger(ledger_settings settings,
                   ledger_hooks hooks,
                   monotonic_time now);
  operation_ledger(const operation_ledger&) = delete;
  operation_ledger& operator=(const operation_ledger&) = delete;

  // Returns the epoch for new keys. Callers receive it together with the entry
  // VM addresses and in the header `Papayakeel-Epoch`.
  const epoch& current_epoch() const { return epochs_.back()->id; }

  // Decides about a request. Calls `Advance` first because a process that
  // resumes after a pause must not use an epoch that is due for closing.
  //
  // After a "not run" result, a key runs again only for a `caller_attempt`
  // higher than all previous attempts with the key. Otherwise a copy of an
  // earlier request, delayed in the network, could run after its caller
  // received "not run". A caller that does not count attempts must use a new
  // key.
  begin_result Begin(const operation_request& request, monotonic_time now);

  // Records that a request with this key is refused before `Begin`, which
  // prevents delayed copies from running. Returns the certainty that may be
  // reported to the caller; "not run" is allowed only for kNotRun.
  operation_certainty RecordRefusal(std::string_view key,
                                    unsigned caller_attempt,
                                    monotonic_time now);

  // Reports that the backend server answered. An answer after
  // `CompleteUnknown` is stored for retries. Unknown ids are ignored.
  void CompleteAnswered(operation_id operation,
                        operation_answer_pointer answer,
                        monotonic_time now);

  // Reports that the operation certainly did not run on any backend server.
  // `retry_after` is 0 when a retry cannot succeed. Ignored after
  // `CompleteUnknown` because an unknown outcome never becomes "not run".
  void CompleteNotRun(operation_id operation,
                      time_span retry_after,
                      monotonic_time now);

  // Reports that the operation may have run.
  void CompleteUnknown(operation_id operation, monotonic_time now);

  // Removes a waiter whose caller disconnected. The operation continues.
  void Leave(waiter_id waiter);

  // Finishes waiters whose deadline has passed, removes expired epochs and
  // rotates the current epoch when it is due.
  void Advance(monotonic_time now);

  // Returns the time at which `Advance` must be called next, if any.
  std::optional<monotonic_time> NextDeadline() const;

  std::size_t stored_answer_bytes() const { return stored_bytes_; }
  std::size_t waiters() const { return waiters_.size(); }
  std::size_t epochs() const { return epochs_.size(); }
  std::size_t keys() const;

  nlohmann::json DumpState(monotonic_time now) const;

 private:
  enum class record_state {
    kRunning,
    kAnswered,
    kNotRun,
    kUnknown,
  };
  struct stored_answer;
  struct operation_record {
    record_state state = record_state::kNotRun;
    // Empty while the key has only been seen by `RecordRefusal`.
    std::optional<request_fingerprint> fingerprint;
    unsigned highest_attempt = 0;
    operation_id operation = 0;  // Latest run; 0 if the key never ran.
    int status = 0;              // Only for kAnswered.
    // Position of the stored answer; empty when no answer is stored.
    std::optional<std::list<stored_answer>::iterator> answer;
  };
  struct stored_answer {
    operation_answer_pointer content;
    operation_record* owner = nullptr;
  };
  struct suffix_hash {
    std::size_t operator()(const std::string& suffix) const noexcept;
  };
  struct epoch_record {
    epoch id;
    monotonic_time opened;
    std::optional<monotonic_time> closed;  // Empty only for the current one.
    std::size_t running = 0;
    // Keys are removed only together with their epoch, so references to the
    // elements stay valid until then.
    std::unordered_map<std::string, operation_record, suffix_hash> records;
  };
  struct run_record {
    epoch_record* owner = nullptr;
    operation_record* record = nullptr;
    std::set<waiter_id> waiters;
  };
  struct waiter_record {
    operation_id operation = 0;
    std::optional<monotonic_time> deadline;  // Empty for the first caller.
  };

  epoch_record* FindEpoch(const epoch& id);
  begin_result RefuseForeignEpoch(const epoch& id) const;
  begin_result StartRun(epoch_record& owner,
                        operation_record& record,
                        const operation_request& request);
  begin_result Join(operation_record& record, const operation_request& request);
  static operation_decision Replay(const operation_record& record);
  waiter_id AddWaiter(operation_id operation,
                      std::optional<monotonic_time> deadline);
  void FinishRun(run_record& run,
                 record_state state,
                 const operation_result& result);
  void StoreAnswer(operation_record& record, operation_answer_pointer answer);
  void DropAnswer(operation_record& record);
  bool IsFull(const epoch_record& record) const;
  void ExpireWaiters(monotonic_time now);
  bool IsExpired(const epoch_record& record, monotonic_time now) const;
  void RemoveExpiredEpochs(monotonic_time now);
  void RotateEpoch(monotonic_time now);
  time_span TimeUntilCapacity(monotonic_time now) const;

  const ledger_settings settings_;
  const ledger_hooks hooks_;

  // From oldest to current; never empty, and at most `epoch_limit` elements.
  std::vector<std::unique_ptr<epoch_record>> epochs_;

  // Runs in progress, and runs with an unknown outcome that may still receive a
  // late answer.
  std::unordered_map<operation_id, run_record> runs_;
  std::unordered_map<waiter_id, waiter_record> waiters_;
  std::set<std::pair<monotonic_time, waiter_id>> waiter_deadlines_;

  std::list<stored_answer> answers_;  // Oldest first.
  std::size_t stored_bytes_ = 0;      // At most `answer_bytes_total`.

  operation_id next_operation_ = 1;
  waiter_id next_waiter_ = 1;

  // Totals since the process started.
  std::uint64_t run_count_ = 0;
  std::uint64_t join_count_ = 0;
  std::uint64_t replay_count_ = 0;
  std::uint64_t refusal_count_ = 0;
  std::uint64_t late_answer_count_ = 0;
  std::uint64_t dropped_answer_count_ = 0;
};

}  // namespace papayakeel

#endif  // SERVERS_OPERATIONS_OPERATION_LEDGER_H_
