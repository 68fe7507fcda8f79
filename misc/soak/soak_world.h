// Everything of one run: virtual time, network, platform, servers, entry VMs
// and callers.
#ifndef MISC_SOAK_SOAK_WORLD_H_
#define MISC_SOAK_SOAK_WORLD_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "misc/soak/bundle_office.h"
#include "misc/soak/caller_crowd.h"
#include "misc/soak/entry_process.h"
#include "misc/soak/event_trace.h"
#include "misc/soak/fake_platform.h"
#include "misc/soak/fake_server.h"
#include "misc/soak/fault.h"
#include "misc/soak/judge.h"
#include "misc/soak/mutation.h"
#include "misc/soak/scheduler.h"
#include "misc/soak/soak_random.h"
#include "servers/operations/operation_decision.h"
#include "servers/operations/operation_refusal.h"
#include "servers/settings/process_settings.h"

namespace papayakeel::soak {

// Name and value of each count that a run reports; none may stay zero.
using soak_counts = std::vector<std::pair<std::string, std::uint64_t>>;

class soak_world {
 public:
  soak_world(std::uint64_t seed, mutation built_in);

  // Runs until `calls` calls have ended or an invariant is broken.
  void Run(std::uint64_t calls);
  soak_counts Counts() const;
  const judge& verdicts() const { return judge_; }
  const event_trace& trace() const { return trace_; }
  double virtual_seconds() const;

  monotonic_time now() const { return time_.now(); }
  scheduler& time() { return time_; }
  soak_random& random() { return random_; }
  judge& verdicts() { return judge_; }
  const process_settings& settings() const { return office_.settings(); }
  bool Has(mutation kind) const { return mutation_ == kind; }
  std::uint64_t NextId() { return next_id_++; }

  // Entry VMs.
  std::size_t entry_vms() const { return slots_.size(); }
  static network_address PeerAddress(std::size_t entry_vm);
  static network_address CallerAddress(std::size_t entry_vm);
  static std::size_t EntryVmOf(const network_address& address);
  epoch DrawEpoch(std::size_t entry_vm);
  void OnEpochUsed(const epoch& used);
  std::string RandomEpochUsed();
  void OnBundleHeld(const bundle_rank& rank);
  // A process that the caller can reach and that serves, or null.
  entry_process* FindReachable(std::size_t caller);
  // Since then it was neither paused nor replaced, and the platform served it.
  bool IsUndisturbedSince(std::size_t entry_vm, monotonic_time since) const;

  // Network. Actions for a process that is gone are dropped; those for a paused
  // one wait for its end.
  void DeliverToProcess(std::size_t entry_vm,
                        std::uint64_t process,
                        time_span delay,
                        std::function<void()> action);
  void DeliverToEntryVm(std::size_t caller,
                        std::size_t entry_vm,
                        time_span delay,
                        std::function<void(entry_process&)> action);
  void DeliverToCaller(std::size_t caller,
                       std::size_t entry_vm,
                       time_span delay,
                       std::function<void()> action);
  void SendPeer(std::size_t from,
                const network_address& to,
                const peer_message& message);
  void DeliverRequest(const connection_pointer& connection,
                      std::uint64_t exchange,
                      const wire_request& request);
  void DeliverAnswer(const connection_pointer& connection,
                     const wire_answer& answer,
                     time_span delay);
  void CloseByServer(const connection_pointer& connection);

  // Platform, as this entry VM sees it.
  std::optional<std::string> ReadConfiguration(std::size_t entry_vm);
  std::optional<std::vector<vm_record>> ReadVmList(std::size_t entry_vm) const;

  // Servers.
  std::shared_ptr<fake_server> FindServer(const network_address& address) const;
  void OnServerStopped(const fake_server& stopped);
  // True at random while answers have this fault.
  bool HasAnswerFault(fault kind);
  void CountAnswerFault(fault kind);
  // I6: an entry VM gave up a request in flight at a leaving server.
  void CheckInterruption(const fake_server& server,
                         std::uint64_t exchange,
                         bool is_call_over);

  void CountDecision(operation_action action);
  void CountRefusal(operation_refusal_code code);
  void CountLateAnswer() { ++late_answers_; }
  void CountOffer(bool is_accepted);

 private:
  struct entry_slot {
    std::unique_ptr<entry_process> process;  // Null while it is being replaced.
    bool is_paused = false;
    std::deque<std::pair<std::uint64_t, std::function<void()>>> backlog;
    std::optional<epoch> last_epoch;
    bool is_starting = false;
    monotonic_time disturbed_at;
  };

  void RunInProcess(std::size_t entry_vm,
                    std::uint64_t process,
                    const std::function<void()>& action);
  bool CanTalk(std::size_t left, std::size_t right) const;
  bool CanCall(std::size_t caller, std::size_t entry_vm) const;

  void StartProcess(std::size_t entry_vm);
  void ReplaceProcess(std::size_t entry_vm, time_span downtime);
  void PauseProcess(std::size_t entry_vm, time_span length);
  void Disturb(std::size_t entry_vm);

  void AddServer(const std::string& service, bool is_cold);
  std::vector<std::shared_ptr<fake_server>> StayingServers(
      const std::string& service) const;
  std::shared_ptr<fake_server> RandomServer();
  void LetServerLeave(time_span linger, bool closes_listener);
  void RefreshVmList();

  void ScheduleCall();
  void ScheduleFaults();
  void Inject(fault kind);
  void InjectPlatformFault(fault kind, time_span length);
  void InjectEntryFault(fault kind, time_span length);
  void InjectServerFault(fault kind, time_span length);
  void Publish(fault kind);
  // Counts the fault as active for `length` and runs `end` after it.
  void HoldFault(time_span length, const std::function<void()>& end);
  void EverySecond();
  void CheckBundles();
  void UpdateProbeBudget();

  scheduler time_;
  soak_random random_;
  judge judge_;
  event_trace trace_;
  const mutation mutation_;
  bundle_office office_;
  fake_platform platform_;
  caller_crowd crowd_;
  std::uint64_t next_id_ = 1;

  std::vector<entry_slot> slots_;
  std::vector<epoch> epochs_used_;
  std::map<network_address, std::shared_ptr<fake_server>> servers_;

  // Partitions: entry VMs of different groups cannot talk; callers of odd
  // number cannot reach `cut_from_callers_`.
  std::vector<int> groups_;
  std::set<std::size_t> cut_from_callers_;
  std::set<std::size_t> cut_from_platform_;
  int fleet_disturbances_ = 0;  // Partitions, pauses and absences now.
  monotonic_time fleet_disturbed_at_;
  monotonic_time platform_disturbed_at_;
  monotonic_time published_at_;
  bundle_rank published_rank_;
  double published_budget_ = 0;
  std::map<bundle_rank, monotonic_time> first_held_;
  std::map<bundle_rank, double> budgets_;  // Not superseded everywhere yet.

  std::uint64_t calls_wanted_ = 0;
  bool is_peak_ = false;
  std::vector<fault> bag_;
  std::array<int, kFaults> active_answer_faults_{};
  std::size_t active_faults_ = 0;

  std::array<std::uint64_t, kFaults> fault_counts_{};
  std::array<std::uint64_t, kFaults> answer_fault_counts_{};
  std::uint64_t combined_faults_ = 0;
  std::uint64_t repeated_faults_ = 0;
  std::array<std::uint64_t, 3> decisions_{};
  std::array<std::uint64_t, 8> refusals_{};
  std::uint64_t late_answers_ = 0;
  std::uint64_t accepted_offers_ = 0;
  std::uint64_t refused_offers_ = 0;
};

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_SOAK_WORLD_H_
