// Network, platform, servers and entry VMs of a run.
#include "misc/soak/soak_world.h"

#include <algorithm>

namespace papayakeel::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntryVms = 4;
constexpr std::size_t kServersPerService = 4;
constexpr time_span kHop = std::chrono::microseconds(500);
constexpr time_span kVmListLag = seconds(1);

// "Within seconds" of I7, from the first holder to all, in an undisturbed
// fleet; the objective of the design is 10 s.
constexpr time_span kRollOut = seconds(10);
// A reader of the configuration service waits at most 8 s for the next answer.
constexpr time_span kPublication = seconds(10);

// Mean time between two calls, and in a traffic peak.
constexpr time_span kCallGap = milliseconds(10);
constexpr time_span kPeakCallGap = std::chrono::microseconds(700);

}  // namespace

soak_world::soak_world(std::uint64_t seed, mutation built_in)
    : random_(seed),
      judge_(time_),
      mutation_(built_in),
      office_(static_cast<int>(kEntryVms)),
      crowd_(*this),
      slots_(kEntryVms),
      groups_(kEntryVms, 0) {
  Publish(fault::kBundlePublished);
  fault_counts_.fill(0);
  for (std::size_t each = 0; each < kServersPerService; ++each) {
    AddServer("bokning", false);
    AddServer("releasedesk", false);
  }
  RefreshVmList();
  for (std::size_t each = 0; each < kEntryVms; ++each)
    StartProcess(each);
  fleet_disturbed_at_ = now();
  platform_disturbed_at_ = now();
}

void soak_world::Run(std::uint64_t calls) {
  calls_wanted_ = calls;
  // Time for the fleet to find itself.
  time_.After(seconds(12), [this] {
    ScheduleCall();
    ScheduleFaults();
  });
  time_.After(seconds(1), [this] { EverySecond(); });
  std::optional<monotonic_time> ended;
  while (!judge_.broken() && time_.RunNext()) {
    const bool is_over =
        crowd_.counts().calls >= calls_wanted_ && crowd_.open_calls() == 0;
    if (is_over && !ended)
      ended = now();
    // Late answers and delayed copies may still break something.
    if (ended && now() - *ended > seconds(30))
      return;
  }
}

double soak_world::virtual_seconds() const {
  return ToMilliseconds(now().time_since_epoch()) / 1000 - 3600;
}

soak_counts soak_world::Counts() const {
  soak_counts counts;
  const crowd_counts& crowd = crowd_.counts();
  counts.emplace_back("calls", crowd.calls);
  counts.emplace_back("sendings", crowd.sendings);
  counts.emplace_back("repeats", crowd.repeats);
  counts.emplace_back("repeats_elsewhere", crowd.repeats_elsewhere);
  counts.emplace_back("repeats_uncounted", crowd.repeats_uncounted);
  counts.emplace_back("concurrent_copies", crowd.concurrent_copies);
  counts.emplace_back("delayed_sendings", crowd.delayed);
  counts.emplace_back("old_address_lists", crowd.old_lists);
  counts.emplace_back("old_epochs", crowd.old_epochs);
  counts.emplace_back("new_keys", crowd.new_keys);
  counts.emplace_back("other_requests_with_key", crowd.other_requests);
  counts.emplace_back("redirects", crowd.redirects);
  counts.emplace_back("timeouts", crowd.timeouts);
  counts.emplace_back("answered", crowd.answered);
  counts.emplace_back("told_not_run", crowd.not_run);
  counts.emplace_back("told_unknown", crowd.unknown);
  counts.emplace_back("ledger_runs", decisions_[0]);
  counts.emplace_back("ledger_joins", decisions_[1]);
  counts.emplace_back("ledger_replays", decisions_[2]);
  for (const operation_refusal_code code :
       {operation_refusal_code::kKeyReused,
        operation_refusal_code::kOtherMember,
        operation_refusal_code::kEpochClosed,
        operation_refusal_code::kRefusedEarlier,
        operation_refusal_code::kLedgerFull,
        operation_refusal_code::kUnknownEpoch}) {
    counts.emplace_back(std::string("ledger_") + ToString(code),
                        refusals_[static_cast<std::size_t>(code)]);
  }
  counts.emplace_back("late_answers_kept", late_answers_);
  counts.emplace_back("bundles_accepted", accepted_offers_);
  counts.emplace_back("bundles_refused", refused_offers_);
  for (std::size_t each = 0; each < kFaults; ++each) {
    counts.emplace_back(std::string("fault_") + kFaultNames[each],
                        fault_counts_[each]);
  }
  for (const fault kind : {fault::kLateAnswers, fault::kDuplicateAnswers,
                           fault::kCrossedAnswers, fault::kTruncatedAnswers}) {
    const std::size_t index = static_cast<std::size_t>(kind);
    counts.emplace_back(std::string("answers_with_") + kFaultNames[index],
                        answer_fault_counts_[index]);
  }
  counts.emplace_back("faults_combined", combined_faults_);
  counts.emplace_back("faults_repeated", repeated_faults_);
  for (int each = 1; each <= judge::kInvariants; ++each)
    counts.emplace_back("checks_I" + std::to_string(each), judge_.checks(each));
  return counts;
}

network_address soak_world::PeerAddress(std::size_t entry_vm) {
  return {"10.0.0." + std::to_string(entry_vm + 1), 7000};
}

network_address soak_world::CallerAddress(std::size_t entry_vm) {
  return {"10.0.0." + std::to_string(entry_vm + 1), 80};
}

std::size_t soak_world::EntryVmOf(const network_address& address) {
  return std::stoul(address.host.substr(address.host.rfind('.') + 1)) - 1;
}

epoch soak_world::DrawEpoch(std::size_t entry_vm) {
  entry_slot& slot = slots_[entry_vm];
  const bool reuses =
      Has(mutation::kEpochReused) && slot.is_starting && slot.last_epoch;
  if (!reuses)
    slot.last_epoch = epoch{random_.Next(), random_.Next()};
  return *slot.last_epoch;
}

void soak_world::OnEpochUsed(const epoch& used) {
  if (epochs_used_.empty() || epochs_used_.back() != used)
    epochs_used_.push_back(used);
}

std::string soak_world::RandomEpochUsed() {
  return epochs_used_[random_.Below(epochs_used_.size())].ToString();
}

void soak_world::OnBundleHeld(const bundle_rank& rank) {
  trace_.Add(now(), "bundle in force, version", rank.first);
  first_held_.try_emplace(rank, now());
}

entry_process* soak_world::FindReachable(std::size_t caller) {
  const std::size_t first = random_.Below(slots_.size());
  for (std::size_t each = 0; each < slots_.size(); ++each) {
    const std::size_t vm = (first + each) % slots_.size();
    const entry_slot& slot = slots_[vm];
    if (slot.process && !slot.is_paused && CanCall(caller, vm) &&
        slot.process->IsReady())
      return slot.process.get();
  }
  return nullptr;
}

bool soak_world::IsUndisturbedSince(std::size_t entry_vm,
                                    monotonic_time since) const {
  const entry_slot& slot = slots_[entry_vm];
  return slot.process && !slot.is_paused && slot.disturbed_at < since &&
         cut_from_platform_.count(entry_vm) == 0 &&
         !platform_.is_vm_list_stale() && platform_disturbed_at_ < since;
}

void soak_world::DeliverToProcess(std::size_t entry_vm,
                                  std::uint64_t process,
                                  time_span delay,
                                  std::function<void()> action) {
  time_.After(delay, [this, entry_vm, process, action = std::move(action)] {
    RunInProcess(entry_vm, process, action);
  });
}

void soak_world::RunInProcess(std::size_t entry_vm,
                              std::uint64_t process,
                              const std::function<void()>& action) {
  entry_slot& slot = slots_[entry_vm];
  if (!slot.process || slot.process->id() != process)
    return;
  if (slot.is_paused) {
    slot.backlog.emplace_back(process, action);
    return;
  }
  action();
}

void soak_world::DeliverToEntryVm(std::size_t caller,
                                  std::size_t entry_vm,
                                  time_span delay,
                                  std::function<void(entry_process&)> action) {
  time_.After(delay, [this, caller, entry_vm, action = std::move(action)] {
    const entry_slot& slot = slots_[entry_vm];
    if (!slot.process || !CanCall(caller, entry_vm))
      return;
    RunInProcess(entry_vm, slot.process->id(), [this, entry_vm, action] {
      action(*slots_[entry_vm].process);
    });
  });
}

void soak_world::DeliverToCaller(std::size_t caller,
                                 std::size_t entry_vm,
                                 time_span delay,
                                 std::function<void()> action) {
  time_.After(delay, [this, caller, entry_vm, action = std::move(action)] {
    if (CanCall(caller, entry_vm))
      action();
  });
}

void soak_world::SendPeer(std::size_t from,
                          const network_address& to,
                          const peer_message& message) {
  const std::size_t receiver = EntryVmOf(to);
  const bool is_lost = random_.Chance(0.01);
  if (is_lost || !CanTalk(from, receiver))
    return;
  time_.After(kHop, [this, from, receiver, message] {
    const entry_slot& slot = slots_[receiver];
    if (!slot.process || !CanTalk(from, receiver))
      return;
    RunInProcess(receiver, slot.process->id(), [this, receiver, message] {
      slots_[receiver].process->ReceivePeer(message);
    });
  });
}

void soak_world::DeliverRequest(const connection_pointer& connection,
                                std::uint64_t exchange,
                                const wire_request& request) {
  time_.After(kHop, [this, connection, exchange, request] {
    if (connection->is_silent)
      return;
    trace_.Add(now(), "request at server; server, subject",
               connection->server->id(), request.subject);
    connection->server->Receive(connection, exchange, request);
  });
}

void soak_world::DeliverAnswer(const connection_pointer& connection,
                               const wire_answer& answer,
                               time_span delay) {
  time_.After(delay + kHop, [this, connection, answer] {
    if (connection->is_silent)
      return;
    RunInProcess(connection->entry_vm, connection->process,
                 [this, connection, answer] {
                   slots_[connection->entry_vm].process->link().OnAnswer(
                       connection, answer);
                 });
  });
}

void soak_world::CloseByServer(const connection_pointer& connection) {
  time_.After(kHop, [this, connection] {
    if (connection->is_silent)
      return;
    RunInProcess(connection->entry_vm, connection->process, [this, connection] {
      slots_[connection->entry_vm].process->link().OnClose(connection);
    });
  });
}

std::optional<std::string> soak_world::ReadConfiguration(std::size_t entry_vm) {
  if (cut_from_platform_.count(entry_vm) != 0)
    return std::nullopt;
  return platform_.ReadConfiguration();
}

std::optional<std::vector<vm_record>> soak_world::ReadVmList(
    std::size_t entry_vm) const {
  if (cut_from_platform_.count(entry_vm) != 0)
    return std::nullopt;
  return platform_.vms();
}

std::shared_ptr<fake_server> soak_world::FindServer(
    const network_address& address) const {
  const auto found = servers_.find(address);
  return found != servers_.end() ? found->second : nullptr;
}

void soak_world::OnServerStopped(const fake_server& stopped) {
  trace_.Add(now(), "server stopped", stopped.id());
  RefreshVmList();
  const std::string& service = stopped.service();
  if (StayingServers(service).size() >= kServersPerService)
    return;
  time_.After(random_.Between(milliseconds(200), seconds(3)),
              [this, service] { AddServer(service, true); });
}

bool soak_world::HasAnswerFault(fault kind) {
  return active_answer_faults_[static_cast<std::size_t>(kind)] > 0 &&
         random_.Chance(0.2);
}

void soak_world::CountAnswerFault(fault kind) {
  ++answer_fault_counts_[static_cast<std::size_t>(kind)];
}

void soak_world::CheckInterruption(const fake_server& server,
                                   std::uint64_t exchange,
                                   bool is_call_over) {
  judge_.Check(6, is_call_over,
               "request " + std::to_string(exchange) +
                   " was interrupted at leaving server " +
                   std::to_string(server.id()));
}

void soak_world::CountDecision(operation_action action) {
  ++decisions_[static_cast<std::size_t>(action)];
}

void soak_world::CountRefusal(operation_refusal_code code) {
  ++refusals_[static_cast<std::size_t>(code)];
}

void soak_world::CountOffer(bool is_accepted) {
  ++(is_accepted ? accepted_offers_ : refused_offers_);
}

bool soak_world::CanTalk(std::size_t left, std::size_t right) const {
  return groups_[left] == groups_[right];
}

bool soak_world::CanCall(std::size_t caller, std::size_t entry_vm) const {
  return caller % 2 == 0 || cut_from_callers_.count(entry_vm) == 0;
}

void soak_world::StartProcess(std::size_t entry_vm) {
  entry_slot& slot = slots_[entry_vm];
  slot.is_starting = true;
  slot.process = std::make_unique<entry_process>(*this, entry_vm, NextId());
  slot.is_starting = false;
  trace_.Add(now(), "process started; entry VM, process", entry_vm,
             slot.process->id());
  Disturb(entry_vm);
}

void soak_world::ReplaceProcess(std::size_t entry_vm, time_span downtime) {
  entry_slot& slot = slots_[entry_vm];
  if (!slot.process)
    return;
  trace_.Add(now(), "process killed; entry VM, process", entry_vm,
             slot.process->id());
  slot.process.reset();
  slot.backlog.clear();
  Disturb(entry_vm);
  ++fleet_disturbances_;
  time_.After(downtime, [this, entry_vm] {
    --fleet_disturbances_;
    StartProcess(entry_vm);
  });
}

void soak_world::PauseProcess(std::size_t entry_vm, time_span length) {
  entry_slot& slot = slots_[entry_vm];
  if (slot.is_paused)
    return;
  trace_.Add(now(), "process paused; entry VM", entry_vm);
  slot.is_paused = true;
  Disturb(entry_vm);
  ++fleet_disturbances_;
  time_.After(length, [this, entry_vm] {
    entry_slot& woken = slots_[entry_vm];
    trace_.Add(now(), "process woken; entry VM", entry_vm);
    woken.is_paused = false;
    --fleet_disturbances_;
    Disturb(entry_vm);
    const auto backlog = std::move(woken.backlog);
    woken.backlog.clear();
    for (const auto& [process, action] : backlog)
      DeliverToProcess(entry_vm, process, time_span(0), action);
  });
}

void soak_world::Disturb(std::size_t entry_vm) {
  slots_[entry_vm].disturbed_at = now();
  fleet_disturbed_at_ = now();
}

void soak_world::AddServer(const std::string& service, bool is_cold) {
  const std::uint64_t id = NextId();
  const network_address address{
      "10.1." + std::to_string(id / 250) + "." + std::to_string(id % 250 + 1),
      8080};
  const std::shared_ptr<fake_server> added =
      std::make_shared<fake_server>(*this, id, service, address);
  if (is_cold)
    added->BeCold(seconds(3));
  servers_[address] = added;
  trace_.Add(now(), "server started", id);
  RefreshVmList();
}

std::vector<std::shared_ptr<fake_server>> soak_world::StayingServers(
    const std::string& service) const {
  std::vector<std::shared_ptr<fake_server>> staying;
  for (const auto& [address, server] : servers_) {
    if (server->service() == service && !server->leaving_since())
      staying.push_back(server);
  }
  return staying;
}

std::shared_ptr<fake_server> soak_world::RandomServer() {
  const std::vector<std::shared_ptr<fake_server>> staying =
      StayingServers(random_.Chance(0.5) ? "bokning" : "releasedesk");
  return staying[random_.Below(staying.size())];
}

void soak_world::LetServerLeave(time_span linger, bool closes_listener) {
  const std::shared_ptr<fake_server> chosen = RandomServer();
  if (StayingServers(chosen->service()).size() <= 2)
    return;
  trace_.Add(now(), "server leaves", chosen->id());
  chosen->Leave(linger, closes_listener);
  RefreshVmList();
}

void soak_world::RefreshVmList() {
  std::vector<vm_record> vms;
  for (const auto& [address, server] : servers_) {
    if (server->is_stopped())
      continue;
    vm_record record;
    record.address = address;
    record.service = server->service();
    record.is_leaving = server->leaving_since().has_value();
    vms.push_back(record);
  }
  time_.After(kVmListLag, [this, vms] { platform_.SetVms(vms); });
}

void soak_world::ScheduleCall() {
  if (crowd_.counts().calls >= calls_wanted_)
    return;
  crowd_.StartCall();
  time_.After(random_.Exponential(is_peak_ ? kPeakCallGap : kCallGap),
              [this] { ScheduleCall(); });
}

void soak_world::EverySecond() {
  CheckBundles();
  UpdateProbeBudget();
  time_.After(seconds(1), [this] { EverySecond(); });
}

void soak_world::CheckBundles() {
  bundle_rank highest;
  monotonic_time since = now();
  for (const entry_slot& slot : slots_) {
    if (!slot.process || slot.process->rank() < highest)
      continue;
    const bool is_higher = slot.process->rank() > highest;
    highest = slot.process->rank();
    since = is_higher ? slot.process->rank_since()
                      : std::min(since, slot.process->rank_since());
  }
  const bool fleet_is_calm =
      fleet_disturbances_ == 0 && now() - fleet_disturbed_at_ > kRollOut;
  if (!fleet_is_calm)
    return;
  if (now() - since > kRollOut) {
    for (std::size_t each = 0; each < slots_.size(); ++each) {
      judge_.Check(7, slots_[each].process->rank() == highest,
                   "entry VM " + std::to_string(each) + " has bundle " +
                       std::to_string(slots_[each].process->rank().first) +
                       " although another has had " +
                       std::to_string(highest.first) + " for 10 s");
    }
  }
  const time_span limit = kPublication + kRollOut;
  const bool platform_is_calm =
      platform_.IsHealthy() && cut_from_platform_.empty() &&
      now() - platform_disturbed_at_ > limit && now() - published_at_ > limit;
  if (platform_is_calm) {
    judge_.Check(7, highest >= published_rank_,
                 "version " + std::to_string(published_rank_.first) +
                     " is published but not in force after 20 s");
  }
}

void soak_world::UpdateProbeBudget() {
  // A budget is superseded once the fleet has been whole for as long as a
  // roll-out takes since some process first had a later bundle.
  bundle_rank superseding;
  for (const auto& [rank, held_at] : first_held_) {
    const monotonic_time from = std::max(held_at, fleet_disturbed_at_);
    if (fleet_disturbances_ == 0 && now() - from > kRollOut)
      superseding = rank;
  }
  budgets_.erase(budgets_.begin(), budgets_.lower_bound(superseding));
  double allowed = 0;
  for (const auto& [rank, budget] : budgets_)
    allowed = std::max(allowed, budget);
  judge_.SetProbeBudget(allowed, slots_.size());
}

}  // namespace papayakeel::soak
