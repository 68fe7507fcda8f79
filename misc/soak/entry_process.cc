// Joins ledger, dispatchers, bundles and gossip of one process.
#include "misc/soak/entry_process.h"

#include <algorithm>
#include <utility>

#include "misc/soak/soak_world.h"
#include "servers/placement/entry_placement.h"

namespace papayakeel::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The longest wait of a watch, and how often the VM list is read.
constexpr time_span kWatch = seconds(8);
constexpr time_span kVmListPeriod = seconds(1);
constexpr time_span kGossipTick = milliseconds(100);

// Small enough for every limit to be met within a run.
ledger_settings MakeLedgerSettings() {
  ledger_settings settings;
  settings.keys_per_epoch = 100;
  settings.epoch_age = seconds(15);
  settings.retention = seconds(15);
  settings.epoch_limit = 3;
  settings.answer_bytes_each = 40;
  settings.answer_bytes_total = 4000;
  settings.waiter_limit = 20;
  return settings;
}

}  // namespace

entry_process::entry_process(soak_world& world,
                             std::size_t entry_vm,
                             std::uint64_t id)
    : world_(world),
      entry_vm_(entry_vm),
      id_(id),
      link_(world, entry_vm, id),
      bundles_(std::make_unique<bundle_service>(world.settings())),
      directory_(MakeSelf(entry_vm, id)) {
  MakeLedger();
  MakeGossip(id);
  UpdateSelf();
  world_.DeliverToProcess(entry_vm_, id_, time_span(0), [this] {
    Tick();
    PollConfiguration();
    PollVmList();
  });
}

member entry_process::MakeSelf(std::size_t entry_vm,
                               std::uint64_t incarnation) {
  member self;
  self.peer_address = soak_world::PeerAddress(entry_vm);
  self.caller_address = soak_world::CallerAddress(entry_vm);
  self.incarnation = incarnation;
  return self;
}

void entry_process::MakeLedger() {
  ledger_hooks hooks;
  hooks.generate_epoch = [this] { return world_.DrawEpoch(entry_vm_); };
  hooks.find_member =
      [this](const epoch& id) -> std::optional<network_address> {
    const std::string text = id.ToString();
    for (const member& each : directory_.members()) {
      const bool is_other = each.peer_address != directory_.self().peer_address;
      if (is_other && each.epoch == text)
        return each.caller_address;
    }
    return std::nullopt;
  };
  hooks.epoch_changed = [this](const epoch&) { UpdateSelf(); };
  hooks.finish_waiter = [this](waiter_id waiter,
                               const operation_result& result) {
    const auto found = waiters_.find(waiter);
    if (found == waiters_.end())
      return;
    const waiter_state state = std::move(found->second);
    waiters_.erase(found);
    sendings_.erase(state.sending);
    TellResult(state.request, state.reply, result);
  };
  ledger_ = std::make_unique<operation_ledger>(MakeLedgerSettings(),
                                               std::move(hooks), world_.now());
}

void entry_process::MakeGossip(std::uint64_t incarnation) {
  gossip_hooks hooks;
  hooks.send = [this](const network_address& to, const peer_message& message) {
    world_.SendPeer(entry_vm_, to, message);
  };
  hooks.members_changed = [this] {
    directory_.SetMembers(gossip_->table().Live());
    ApplyEndpoints();
  };
  hooks.no_answer = [](const network_address&) {};
  gossip_ = std::make_unique<gossip_protocol>(
      MakeSelf(entry_vm_, incarnation), gossip_settings(),
      world_.random().Source(), std::move(hooks));
  std::vector<network_address> contacts;
  for (std::size_t each = 0; each < world_.entry_vms(); ++each)
    contacts.push_back(soak_world::PeerAddress(each));
  gossip_->SetContacts(std::move(contacts));
}

bundle_rank entry_process::rank() const {
  if (!bundles_->current())
    return {0, 0};
  return {bundles_->current()->version, bundles_->content_hash()};
}

bool entry_process::IsReady() const {
  return bundles_->current() && has_heard_member_ && rank() >= highest_heard_;
}

void entry_process::HandleRequest(const wire_request& request,
                                  std::uint64_t sending,
                                  time_span patience,
                                  const reply_function& reply) {
  const bundle_pointer in_force = bundles_->current();
  const service_definition* definition =
      in_force ? in_force->FindService(request.service) : nullptr;
  const work_class* work =
      definition != nullptr
          ? definition->Classify(request.method, request.target)
          : nullptr;
  // As a gateway does whose buffers are full.
  const bool is_full = world_.random().Chance(0.01);
  if (work == nullptr || !IsReady() || is_full)
    return RefuseEarly(request, reply);
  if (!work->once_only || request.key.empty()) {
    Submit(request, *work, sending, patience, 0, reply);
    EndCalls();
    return Arm();
  }
  operation_request asked;
  asked.key = request.key;
  asked.service = request.service;
  asked.fingerprint =
      request_fingerprint::Of(request.service, request.method, request.target,
                              std::to_string(request.content));
  asked.caller_attempt = request.attempt;
  asked.deadline = world_.now() + patience;
  const operation_ledger::begin_result decision =
      ledger_->Begin(asked, world_.now());
  if (!decision) {
    RefuseOperation(decision.error(), request, reply);
    return Arm();
  }
  world_.CountDecision(decision->action);
  if (decision->action == operation_action::kReplay) {
    TellResult(request, reply, decision->result);
    return Arm();
  }
  waiters_[decision->waiter] = {request, sending, reply};
  sendings_[sending] = {0, decision->waiter};
  if (decision->action == operation_action::kRun)
    Submit(request, *work, sending, patience, decision->operation, reply);
  EndCalls();
  Arm();
}

void entry_process::RefuseEarly(const wire_request& request,
                                const reply_function& reply) {
  const bool asks_ledger =
      !request.key.empty() && !world_.Has(mutation::kRefusalNotRecorded);
  const operation_certainty certainty =
      asks_ledger
          ? ledger_->RecordRefusal(request.key, request.attempt, world_.now())
          : operation_certainty::kNotRun;
  if (certainty == operation_certainty::kNotRun)
    return TellNotRun(request, reply, false);
  TellUnknown(request, reply);
}

void entry_process::RefuseOperation(const operation_refusal& refusal,
                                    const wire_request& request,
                                    const reply_function& reply) {
  world_.CountRefusal(refusal.code);
  const bool runs_foreign =
      refusal.code == operation_refusal_code::kUnknownEpoch &&
      world_.Has(mutation::kForeignEpochRun);
  if (runs_foreign) {
    const service_definition* definition =
        bundles_->current()->FindService(request.service);
    Submit(request, *definition->Classify(request.method, request.target), 0,
           seconds(1), 0, reply);
    return EndCalls();
  }
  if (refusal.owner) {
    wire_reply redirect;
    redirect.kind = reply_kind::kRedirect;
    redirect.entry_vm = soak_world::EntryVmOf(*refusal.owner);
    return reply(redirect);
  }
  if (refusal.certainty() == operation_certainty::kUnknown)
    return TellUnknown(request, reply);
  TellNotRun(request, reply,
             refusal.code != operation_refusal_code::kRefusedEarlier);
}

void entry_process::Submit(const wire_request& request,
                           const work_class& work,
                           std::uint64_t sending,
                           time_span patience,
                           operation_id operation,
                           const reply_function& reply) {
  dispatcher* decisions = FindDispatcher(request.service);
  call submitted;
  submitted.id = next_call_++;
  submitted.work_class = work.name;
  submitted.importance = work.importance;
  submitted.once_only =
      work.once_only && !world_.Has(mutation::kOnceOnlyHedged);
  submitted.arrival = world_.now();
  submitted.deadline =
      world_.now() + std::min<time_span>(patience, work.patience);
  submitted.caller_attempt = request.attempt;
  calls_[submitted.id] = {request, sending, reply, operation};
  if (operation == 0)
    sendings_[sending] = {submitted.id, 0};
  if (decisions == nullptr) {
    call_result refused;
    refused.call = submitted.id;
    refused.outcome = call_outcome::kNotRun;
    ended_.push_back(refused);
    return;
  }
  decisions->Submit(submitted, world_.now());
}

void entry_process::CallerGone(std::uint64_t sending) {
  const auto found = sendings_.find(sending);
  if (found == sendings_.end())
    return;
  const sending_state state = found->second;
  sendings_.erase(found);
  if (state.waiter != 0) {
    ledger_->Leave(state.waiter);
    waiters_.erase(state.waiter);
    return;
  }
  const auto left = calls_.find(state.call);
  if (left == calls_.end())
    return;
  const std::string service = left->second.request.service;
  calls_.erase(left);
  if (dispatcher* decisions = FindDispatcher(service))
    decisions->Cancel(state.call, world_.now());
  EndCalls();
  Arm();
}

std::vector<listed_address> entry_process::Addresses(
    const std::string& service,
    const std::string& caller) const {
  std::vector<listed_address> listed;
  const bundle_pointer in_force = bundles_->current();
  const service_definition* definition =
      in_force ? in_force->FindService(service) : nullptr;
  if (definition == nullptr)
    return listed;
  for (const network_address& address : OrderEntryVms(
           service, directory_.UsableEntryVms(), definition->homes, caller)) {
    for (const member& each : directory_.members()) {
      if (each.caller_address == address)
        listed.push_back({soak_world::EntryVmOf(address), each.epoch});
    }
  }
  return listed;
}

void entry_process::TellNotRun(const wire_request& request,
                               const reply_function& reply,
                               bool needs_new_key) {
  world_.verdicts().ToldNotRun(request);
  wire_reply told;
  told.kind = reply_kind::kNotRun;
  told.needs_new_key = needs_new_key;
  reply(told);
}

void entry_process::TellUnknown(const wire_request& request,
                                const reply_function& reply) {
  if (world_.Has(mutation::kUnknownToldAsNotRun))
    return TellNotRun(request, reply, false);
  reply(wire_reply());
}

void entry_process::TellResult(const wire_request& request,
                               const reply_function& reply,
                               const operation_result& result) {
  if (result.outcome == operation_outcome::kNotRun)
    return TellNotRun(request, reply, false);
  if (result.outcome == operation_outcome::kUnknown || !result.answer)
    return TellUnknown(request, reply);
  wire_reply told;
  told.kind = reply_kind::kAnswered;
  told.body = result.answer->body;
  reply(told);
}

dispatcher* entry_process::FindDispatcher(const std::string& service) {
  const auto found = dispatchers_.find(service);
  return found != dispatchers_.end() ? found->second.get() : nullptr;
}

void entry_process::StartAttempt(const std::string& service,
                                 const attempt_order& order) {
  const auto owner = calls_.find(order.call);
  const std::uint64_t exchange = world_.NextId();
  attempt_state& attempt = attempts_[exchange];
  attempt.service = service;
  attempt.attempt = order.id;
  attempt.call = order.call;
  attempt.operation = owner->second.operation;
  attempt.server = world_.FindServer(order.endpoint);
  exchanges_[{service, order.id}] = exchange;
  link_.Start(exchange, order, owner->second.request,
              [this, exchange](const link_result& result) {
                OnLinkResult(exchange, result);
              });
}

void entry_process::CancelAttempt(const std::string& service,
                                  attempt_id attempt) {
  const auto found = exchanges_.find({service, attempt});
  if (found == exchanges_.end())
    return;
  const std::uint64_t exchange = found->second;
  const attempt_state state = attempts_.at(exchange);
  exchanges_.erase(found);
  attempts_.erase(exchange);
  const bool must_judge = state.server && state.server->leaving_since() &&
                          state.server->IsInFlight(exchange);
  if (must_judge) {
    // The dispatcher may end the call only after it has cancelled the attempt.
    world_.DeliverToProcess(
        entry_vm_, id_, time_span(0), [this, exchange, state] {
          world_.CheckInterruption(*state.server, exchange,
                                   calls_.count(state.call) == 0);
        });
  }
  link_.Cancel(exchange);
}

void entry_process::OnLinkResult(std::uint64_t exchange,
                                 const link_result& result) {
  const auto found = attempts_.find(exchange);
  if (found == attempts_.end())
    return;
  const attempt_state attempt = found->second;
  attempts_.erase(found);
  exchanges_.erase({attempt.service, attempt.attempt});
  const bool is_answered = result.result == attempt_result::kAnswered;
  const bool is_late = calls_.count(attempt.call) == 0;
  if (is_answered && is_late && attempt.operation != 0) {
    operation_answer answer;
    answer.body = result.body;
    ledger_->CompleteAnswered(attempt.operation,
                              std::make_shared<const operation_answer>(answer),
                              world_.now());
    world_.CountLateAnswer();
  }
  if (is_answered)
    bodies_[attempt.attempt] = result.body;
  attempt_report report;
  report.id = attempt.attempt;
  report.result = result.result;
  report.is_server_error = result.is_server_error;
  report.is_leaving = result.is_leaving;
  FindDispatcher(attempt.service)->Report(report, world_.now());
  EndCalls();
  bodies_.erase(attempt.attempt);
  const bool from_leaving =
      is_answered && !is_late && attempt.server->leaving_since();
  if (from_leaving) {
    world_.verdicts().Check(6, calls_.count(attempt.call) == 0,
                            "the answer of leaving server " +
                                std::to_string(attempt.server->id()) +
                                " did not reach its call");
  }
  Arm();
}

void entry_process::EndCalls() {
  while (!ended_.empty()) {
    const std::vector<call_result> ended = std::move(ended_);
    ended_.clear();
    for (const call_result& each : ended)
      EndCall(each);
  }
}

void entry_process::EndCall(const call_result& result) {
  const auto found = calls_.find(result.call);
  if (found == calls_.end())
    return;
  const call_state state = std::move(found->second);
  calls_.erase(found);
  operation_result told;
  if (result.outcome == call_outcome::kAnswered) {
    operation_answer answer;
    answer.body = bodies_[result.answered_by];
    told.outcome = operation_outcome::kAnswered;
    told.answer = std::make_shared<const operation_answer>(answer);
  } else if (result.outcome == call_outcome::kNotRun) {
    told.outcome = operation_outcome::kNotRun;
  }
  if (state.operation == 0) {
    sendings_.erase(state.sending);
    return TellResult(state.request, state.reply, told);
  }
  switch (result.outcome) {
    case call_outcome::kAnswered:
      return ledger_->CompleteAnswered(state.operation, told.answer,
                                       world_.now());
    case call_outcome::kNotRun:
      return ledger_->CompleteNotRun(state.operation, result.retry_after,
                                     world_.now());
    case call_outcome::kUnknown:
      return ledger_->CompleteUnknown(state.operation, world_.now());
  }
}

void entry_process::ReceivePeer(const peer_message& message) {
  const bundle_rank theirs{message.sender.bundle_version,
                           message.sender.bundle_hash};
  has_heard_member_ = true;
  highest_heard_ = std::max(highest_heard_, theirs);
  const network_address& sender = message.sender.peer_address;
  switch (message.type) {
    case peer_message_type::kBundleRequest:
      if (bundles_->current() && !world_.Has(mutation::kBundleNotSpread)) {
        peer_message answer = gossip_->MakeMessage(peer_message_type::kBundle);
        answer.published = bundles_->published();
        world_.SendPeer(entry_vm_, sender, answer);
      }
      return;
    case peer_message_type::kBundle:
      return Offer(message.published);
    case peer_message_type::kFinding:
      if (dispatcher* decisions = FindDispatcher(message.finding.service)) {
        decisions->ApplyFinding(message.finding, world_.now());
        EndCalls();
        Arm();
      }
      return;
    default:
      break;
  }
  gossip_->Receive(message, world_.now());
  if (theirs > rank()) {
    world_.SendPeer(entry_vm_, sender,
                    gossip_->MakeMessage(peer_message_type::kBundleRequest));
  }
  if (theirs == rank())
    ConfirmBundle();
}

void entry_process::OnConfiguration(const std::string& published) {
  if (published.empty())
    return;
  Offer(published);
  if (published == bundles_->published())
    ConfirmBundle();
}

void entry_process::OnVmList(const std::vector<vm_record>& vms) {
  std::vector<vm_record> heard = vms;
  for (vm_record& each : heard) {
    if (!each.is_leaving)
      continue;
    if (const std::shared_ptr<fake_server> server =
            world_.FindServer(each.address)) {
      world_.verdicts().LearnedLeaving(id_, server->id());
      if (world_.Has(mutation::kClosedOnDrain))
        link_.CloseAll(server->id());
    }
    if (world_.Has(mutation::kLeavingIgnored))
      each.is_leaving = false;
  }
  directory_.SetVms(std::move(heard));
  ApplyEndpoints();
}

void entry_process::Tick() {
  gossip_->Tick(world_.now());
  Arm();
  world_.DeliverToProcess(entry_vm_, id_, kGossipTick, [this] { Tick(); });
}

void entry_process::Offer(const std::string& published) {
  const bundle_rank before = rank();
  if (world_.Has(mutation::kOlderBundleAccepted) && bundles_->current())
    bundles_ = std::make_unique<bundle_service>(world_.settings());
  const tl::expected<bool, bundle_error> offered = bundles_->Offer(published);
  world_.CountOffer(offered.has_value());
  world_.verdicts().Check(
      7, rank() >= before,
      "entry VM " + std::to_string(entry_vm_) + " went back from bundle " +
          std::to_string(before.first) + " to " + std::to_string(rank().first));
  if (rank() == before)
    return;
  rank_since_ = world_.now();
  world_.OnBundleHeld(rank());
  ApplyBundle();
  UpdateSelf();
}

void entry_process::ApplyBundle() {
  const bundle_pointer in_force = bundles_->current();
  for (const service_definition& definition : in_force->services) {
    const int limit = world_.Has(mutation::kUndividedProbeBudget)
                          ? 1
                          : in_force->entry_vm_limit;
    const dispatch_settings settings =
        dispatch_settings::From(definition, limit);
    std::unique_ptr<dispatcher>& decisions = dispatchers_[definition.name];
    if (decisions) {
      decisions->Configure(settings, world_.now());
      continue;
    }
    const std::string service = definition.name;
    dispatch_hooks hooks;
    hooks.start_attempt = [this, service](const attempt_order& order) {
      StartAttempt(service, order);
    };
    hooks.cancel_attempt = [this, service](attempt_id attempt) {
      CancelAttempt(service, attempt);
    };
    hooks.finish_call = [this](const call_result& result) {
      ended_.push_back(result);
    };
    hooks.start_probe = [this, service](const network_address& endpoint) {
      StartProbe(service, endpoint);
    };
    hooks.share_finding = [this](const endpoint_finding& finding) {
      SendFinding(finding);
    };
    decisions = std::make_unique<dispatcher>(settings, std::move(hooks),
                                             world_.random().Source());
  }
  ApplyEndpoints();
}

void entry_process::ApplyEndpoints() {
  const bundle_pointer in_force = bundles_->current();
  if (!in_force)
    return;
  for (const service_definition& definition : in_force->services) {
    std::vector<endpoint_info> endpoints;
    for (const vm_record& each : directory_.vms()) {
      if (each.role == vm_role::kServer && each.service == definition.name)
        endpoints.push_back({each.address, "", each.is_leaving});
    }
    FindDispatcher(definition.name)
        ->SetEndpoints(
            SelectEndpoints(definition.name, directory_.UsableEntryVms(),
                            definition.homes, directory_.self().caller_address,
                            endpoints),
            world_.now());
  }
  EndCalls();
  Arm();
}

void entry_process::UpdateSelf() {
  directory_.UpdateSelf([this](member& self) {
    self.epoch = ledger_->current_epoch().ToString();
    self.bundle_version = rank().first;
    self.bundle_hash = rank().second;
  });
  member self = directory_.self();
  self.counter = gossip_->self().counter;
  gossip_->UpdateSelf(self, world_.now());
  world_.OnEpochUsed(ledger_->current_epoch());
}

void entry_process::ConfirmBundle() {
  for (const auto& [service, decisions] : dispatchers_)
    decisions->ConfirmBundle(world_.now());
}

void entry_process::SendFinding(const endpoint_finding& finding) {
  peer_message message = gossip_->MakeMessage(peer_message_type::kFinding);
  message.finding = finding;
  for (const member& each : directory_.members()) {
    if (each.peer_address != directory_.self().peer_address)
      world_.SendPeer(entry_vm_, each.peer_address, message);
  }
}

void entry_process::StartProbe(const std::string& service,
                               const network_address& endpoint) {
  const int times = world_.Has(mutation::kProbeRepeated) ? 8 : 1;
  for (int each = 0; each < times; ++each) {
    world_.DeliverToProcess(
        entry_vm_, id_, milliseconds(7), [this, service, endpoint] {
          const std::shared_ptr<fake_server> server =
              world_.FindServer(endpoint);
          const auto report = [this, service, endpoint](bool succeeded) {
            FindDispatcher(service)->ReportProbe(endpoint, succeeded,
                                                 world_.now());
            EndCalls();
            Arm();
          };
          if (!server)
            return report(false);
          server->Probe(report);
        });
  }
}

void entry_process::PollConfiguration() {
  // In the mutation only the first entry VM reads bundles.
  const bool reads = entry_vm_ == 0 || rank().first == 0 ||
                     !world_.Has(mutation::kBundleNotSpread);
  const std::optional<std::string> read =
      reads ? world_.ReadConfiguration(entry_vm_) : std::nullopt;
  OnConfiguration(read.value_or(""));
  // An answer to a watch comes when the value changes; the soak reads at a
  // random time within the longest wait instead.
  world_.DeliverToProcess(entry_vm_, id_,
                          world_.random().Between(milliseconds(500), kWatch),
                          [this] { PollConfiguration(); });
}

void entry_process::PollVmList() {
  if (const std::optional<std::vector<vm_record>> read =
          world_.ReadVmList(entry_vm_))
    OnVmList(*read);
  world_.DeliverToProcess(entry_vm_, id_, kVmListPeriod,
                          [this] { PollVmList(); });
}

void entry_process::Arm() {
  std::optional<monotonic_time> next = ledger_->NextDeadline();
  for (const auto& [service, decisions] : dispatchers_) {
    const std::optional<monotonic_time> due = decisions->NextDeadline();
    if (due && (!next || *due < *next))
      next = due;
  }
  if (!next || (armed_for_ && *armed_for_ <= *next))
    return;
  // Never at once: a deadline that stays in the past must not stop the clock.
  const monotonic_time at = std::max(*next, world_.now() + milliseconds(1));
  armed_for_ = at;
  world_.DeliverToProcess(entry_vm_, id_, at - world_.now(), [this, at] {
    if (armed_for_ != at)
      return;
    armed_for_.reset();
    OnTimer();
  });
}

void entry_process::OnTimer() {
  ledger_->Advance(world_.now());
  for (const auto& [service, decisions] : dispatchers_)
    decisions->Advance(world_.now());
  EndCalls();
  Arm();
}

}  // namespace papayakeel::soak
