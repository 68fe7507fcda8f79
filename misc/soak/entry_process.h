// One process on an entry VM: the daemon's decision code, joined as the daemon
// joins it, with fakes for sockets.
#ifndef MISC_SOAK_ENTRY_PROCESS_H_
#define MISC_SOAK_ENTRY_PROCESS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/monotonic_time.h"
#include "misc/soak/fake_link.h"
#include "misc/soak/wire.h"
#include "servers/bundles/bundle_service.h"
#include "servers/dispatch/dispatcher.h"
#include "servers/membership/entry_directory.h"
#include "servers/membership/gossip_protocol.h"
#include "servers/operations/operation_ledger.h"

namespace papayakeel::soak {

class soak_world;

using bundle_rank = std::pair<std::uint64_t, std::uint64_t>;

struct listed_address {
  std::size_t entry_vm = 0;
  std::string epoch;
};

class entry_process {
 public:
  // `id` names the process and is never used again.
  entry_process(soak_world& world, std::size_t entry_vm, std::uint64_t id);

  std::uint64_t id() const { return id_; }
  std::size_t entry_vm() const { return entry_vm_; }
  fake_link& link() { return link_; }
  const epoch& current_epoch() const { return ledger_->current_epoch(); }

  // Version and content hash of the bundle in force; zero before the first.
  bundle_rank rank() const;
  monotonic_time rank_since() const { return rank_since_; }
  bool IsReady() const;

  // `sending` names the caller's sending; `reply` is called at most once.
  void HandleRequest(const wire_request& request,
                     std::uint64_t sending,
                     time_span patience,
                     const reply_function& reply);
  void CallerGone(std::uint64_t sending);
  std::vector<listed_address> Addresses(const std::string& service,
                                        const std::string& caller) const;

  void ReceivePeer(const peer_message& message);
  // `published` is empty when the configuration service did not answer.
  void OnConfiguration(const std::string& published);
  void OnVmList(const std::vector<vm_record>& vms);
  void Tick();

  std::uint64_t operations() const { return ledger_->keys(); }

 private:
  struct call_state {
    wire_request request;
    std::uint64_t sending = 0;
    reply_function reply;
    operation_id operation = 0;  // 0 without a key.
  };
  struct waiter_state {
    wire_request request;
    std::uint64_t sending = 0;
    reply_function reply;
  };
  struct sending_state {
    call_id call = 0;
    waiter_id waiter = 0;
  };
  struct attempt_state {
    std::string service;
    attempt_id attempt = 0;
    call_id call = 0;
    operation_id operation = 0;
    std::shared_ptr<fake_server> server;
  };

  static member MakeSelf(std::size_t entry_vm, std::uint64_t incarnation);
  void MakeLedger();
  void MakeGossip(std::uint64_t incarnation);
  dispatcher* FindDispatcher(const std::string& service);
  void RefuseEarly(const wire_request& request, const reply_function& reply);
  void RefuseOperation(const operation_refusal& refusal,
                       const wire_request& request,
                       const reply_function& reply);
  void Submit(const wire_request& request,
              const work_class& work,
              std::uint64_t sending,
              time_span patience,
              operation_id operation,
              const reply_function& reply);
  void TellNotRun(const wire_request& request,
                  const reply_function& reply,
                  bool needs_new_key);
  void TellResult(const wire_request& request,
                  const reply_function& reply,
                  const operation_result& result);
  void TellUnknown(const wire_request& request, const reply_function& reply);

  void StartAttempt(const std::string& service, const attempt_order& order);
  void CancelAttempt(const std::string& service, attempt_id attempt);
  void OnLinkResult(std::uint64_t exchange, const link_result& result);
  // Ends the calls that the dispatchers have finished since the last time.
  void EndCalls();
  void EndCall(const call_result& result);

  void Offer(const std::string& published);
  void ApplyBundle();
  void ApplyEndpoints();
  void UpdateSelf();
  void ConfirmBundle();
  void SendFinding(const endpoint_finding& finding);
  void StartProbe(const std::string& service, const network_address& endpoint);
  void PollConfiguration();
  void PollVmList();
  // Arranges for the next deadline of the decision code.
  void Arm();
  void OnTimer();

  soak_world& world_;
  const std::size_t entry_vm_;
  const std::uint64_t id_;
  fake_link link_;
  std::unique_ptr<bundle_service> bundles_;
  entry_directory directory_;
  std::unique_ptr<gossip_protocol> gossip_;
  std::unique_ptr<operation_ledger> ledger_;
  std::map<std::string, std::unique_ptr<dispatcher>> dispatchers_;

  call_id next_call_ = 1;
  std::unordered_map<call_id, call_state> calls_;
  std::unordered_map<waiter_id, waiter_state> waiters_;
  std::unordered_map<std::uint64_t, sending_state> sendings_;
  std::unordered_map<std::uint64_t, attempt_state> attempts_;  // By exchange.
  std::map<std::pair<std::string, attempt_id>, std::uint64_t> exchanges_;
  std::vector<call_result> ended_;
  std::unordered_map<attempt_id, std::string> bodies_;  // While reporting.

  bool has_heard_member_ = false;
  bundle_rank highest_heard_;
  monotonic_time rank_since_;
  std::optional<monotonic_time> armed_for_;
};

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_ENTRY_PROCESS_H_
