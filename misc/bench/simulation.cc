// Event handlers of a run.
#include "misc/bench/simulation.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "misc/bench/seeded_random.h"
#include "servers/placement/entry_placement.h"

namespace papayakeel::bench {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The platform's VM list shows a change this much later.
constexpr time_span kVmListLag = seconds(5);
// Callers keep an address list this long (`max_age_ms` of the design).
constexpr time_span kAddressAge = seconds(5);
// Entry VMs agree that another is dead, or alive again, this much later.
constexpr time_span kDeathNoticed = seconds(3);
constexpr time_span kReplacementNoticed = seconds(2);
// A caller gives up on a connection to a dead entry VM after this time.
constexpr time_span kCallerConnectTimeout = milliseconds(200);
// Connections to servers: section 4.4 and 4.5 of the design.
constexpr time_span kProofOfLife = seconds(1);
constexpr time_span kIdleLimit = seconds(30);
// Keeps a policy that asks for a time in the past from stopping virtual time.
constexpr time_span kTimerStep = microseconds(10);
// Time after the last call until which unfinished calls may still end; longer
// than the longest patience.
constexpr time_span kRunOut = seconds(70);

// Time after which a leaving server must get no new work: the VM list's lag
// and the way of calls that were already sent.
constexpr time_span kLeavingNoticed = kVmListLag + milliseconds(100);

// Gossip confirms the bundle this often.
constexpr time_span kTickEvery = seconds(1);
// Tells jobs of probes from those of attempts.
constexpr job_id kProbeFlag = job_id{1} << 63;

constexpr unsigned kRequestShift = 32;

call_id MakeCallId(std::size_t position, std::uint32_t request) {
  return (static_cast<call_id>(request) << kRequestShift) | position;
}

std::size_t PositionOf(call_id id) {
  return id & ((call_id{1} << kRequestShift) - 1);
}

std::uint32_t RequestOf(call_id id) {
  return static_cast<std::uint32_t>(id >> kRequestShift);
}

network_address EntryAddress(std::size_t index) {
  return {"10.1.0." + std::to_string(index + 1), 8000};
}

network_address ServerAddress(std::size_t index) {
  return {"10.0.0." + std::to_string(index + 1), 8080};
}

bool IsListedAt(monotonic_time change, monotonic_time view) {
  return change != monotonic_time::max() && change + kVmListLag <= view;
}

}  // namespace

simulation::simulation(const scenario& played, const policy_definition& policy)
    : scenario_(played), policy_(policy) {
  MakeServers();
  MakeEntries();
  callers_.resize(scenario_.work.callers);
  result_.calls.resize(scenario_.work.calls.size());
}

run_result simulation::Run() {
  PlanEvents();
  const monotonic_time stop = scenario_.work.end + kRunOut;
  while (!events_.empty()) {
    const event next = events_.Pop();
    if (next.at > stop)
      break;
    now_ = next.at;
    Handle(next);
  }
  for (const call_history& each : result_.calls) {
    if (each.status == call_status::kPending)
      ++result_.faults.unfinished;
  }
  result_.attempts = attempts_.size();
  return std::move(result_);
}

void simulation::MakeServers() {
  servers_.reserve(scenario_.servers.size());
  for (const server_plan& plan : scenario_.servers) {
    const auto index = static_cast<std::uint32_t>(servers_.size());
    server_hooks hooks;
    hooks.start = [this](job_id id, monotonic_time finishes) {
      OnJobStarts(id, finishes);
    };
    hooks.drop = [this](job_id id) {
      // Probes have no deadline.
      Answer(id, attempt_result::kNotRun);
    };
    servers_.emplace_back(plan, scenario_.size.slots, std::move(hooks));
    server_addresses_.push_back(ServerAddress(index));
    server_by_address_[server_addresses_.back()] = index;
  }
}

void simulation::MakeEntries() {
  const auto count = static_cast<std::size_t>(scenario_.size.entry_vms);
  entries_.resize(count);
  for (std::size_t index = 0; index < count; ++index) {
    entry_vm& entry = entries_[index];
    entry.address = EntryAddress(index);
    entry.changed = monotonic_time::min();
    entry.in_flight.resize(servers_.size());
    entry.pools.resize(servers_.size());
    entry_by_address_[entry.address] = static_cast<std::uint32_t>(index);
    entry_random_.push_back(MakeRandom(scenario_.seed, random_purpose::kPolicy,
                                       static_cast<std::uint32_t>(index)));
  }
}

void simulation::PlanEvents() {
  const auto plan_view = [this](monotonic_time at) {
    if (at != monotonic_time::max() && at > now_)
      events_.Push(at, event_kind::kViewsChange, 0, 0);
  };
  for (const server_plan& plan : scenario_.servers) {
    for (const monotonic_time at : {plan.starts, plan.drains, plan.closes}) {
      if (at != monotonic_time::max() && at > monotonic_time{})
        plan_view(at + kVmListLag);
    }
  }
  for (std::uint32_t index = 0; index < scenario_.outages.size(); ++index) {
    const entry_outage& outage = scenario_.outages[index];
    events_.Push(outage.dies, event_kind::kEntryDies, index, 0);
    events_.Push(outage.replaced, event_kind::kEntryReplaced, index, 0);
    plan_view(outage.dies + kDeathNoticed);
    plan_view(outage.replaced + kReplacementNoticed);
  }
  for (std::uint32_t index = 0; index < scenario_.pauses.size(); ++index) {
    events_.Push(scenario_.pauses[index].start, event_kind::kEntryPauses, index,
                 0);
  }
  outage_victims_.resize(scenario_.outages.size());
  if (scenario_.partition) {
    plan_view(scenario_.partition->start + kDeathNoticed);
    plan_view(scenario_.partition->end + kReplacementNoticed);
  }
  if (scenario_.old_bundle_until)
    plan_view(*scenario_.old_bundle_until);
  if (scenario_.frozen_vm_list)
    plan_view(scenario_.frozen_vm_list->end);
  events_.Push(now_ + kTickEvery, event_kind::kEntryTick, 0, 0);
  if (!scenario_.work.calls.empty()) {
    events_.Push(scenario_.work.calls.front().start, event_kind::kCallStarts, 0,
                 0);
  }
}

void simulation::Handle(const event& next) {
  const std::optional<std::uint32_t> entry = EntryOf(next);
  if (entry && entries_[*entry].paused_until > now_) {
    events_.Push(entries_[*entry].paused_until, next.kind, next.index, next.id);
    return;
  }
  switch (next.kind) {
    case event_kind::kCallStarts: {
      const std::uint32_t following = next.index + 1;
      if (following < scenario_.work.calls.size()) {
        events_.Push(scenario_.work.calls[following].start,
                     event_kind::kCallStarts, following, 0);
      }
      SendCall(next.index);
      break;
    }
    case event_kind::kCallAtEntry:
      OnCallAtEntry(next.index, next.id);
      break;
    case event_kind::kAttemptAtServer:
      OnAttemptAtServer(next.id);
      break;
    case event_kind::kServerDone:
      OnServerDone(next.id);
      break;
    case event_kind::kCancelAtServer:
      OnCancelAtServer(next.id);
      break;
    case event_kind::kAnswerAtEntry:
      OnAnswerAtEntry(next.id);
      break;
    case event_kind::kAttemptTimeout:
      OnAttemptTimeout(next.id);
      break;
    case event_kind::kResultAtCaller:
      OnResultAtCaller(deliveries_[next.id]);
      break;
    case event_kind::kEntryTimer:
      OnEntryTimer(next.index);
      break;
    case event_kind::kEntryDies:
      OnEntryDies(next.index);
      break;
    case event_kind::kEntryReplaced:
      OnEntryReplaced(next.index);
      break;
    case event_kind::kEntryPauses:
      OnEntryPauses(next.index);
      break;
    case event_kind::kViewsChange:
      OnViewsChange();
      break;
    case event_kind::kEntryTick:
      OnEntryTick();
      break;
    case event_kind::kFindingAtEntry:
      OnFindingAtEntry(next.index, findings_[next.id]);
      break;
    case event_kind::kProbeAtServer:
      OnProbeAtServer(next.id);
      break;
    case event_kind::kProbeAtEntry:
      OnProbeAtEntry(next.id);
      break;
    case event_kind::kLostCallNoticed:
      OnLostCallNoticed(next.index, next.id);
      break;
  }
}

void simulation::SendCall(std::size_t position) {
  const std::uint32_t caller_index = scenario_.work.calls[position].caller;
  caller_record& caller = callers_[caller_index];
  if (caller.entries.empty() || now_ - caller.fetched >= kAddressAge)
    FetchAddresses(caller_index);
  call_history& history = result_.calls[position];
  history.reached_entry_vm = false;
  const std::uint32_t entry =
      caller.entries[caller.position % caller.entries.size()];
  events_.Push(now_ + scenario_.size.to_caller, event_kind::kCallAtEntry, entry,
               MakeCallId(position, history.request));
}

void simulation::FetchAddresses(std::uint32_t caller_index) {
  caller_record& caller = callers_[caller_index];
  const std::vector<network_address> live = LiveEntries(caller_index % 2);
  const int homes = policy_.uses_all_entry_vms ? static_cast<int>(live.size())
                                               : policy_.homes;
  caller.entries.clear();
  for (const network_address& address :
       OrderEntryVms(scenario_.size.service, live, homes,
                     "caller-" + std::to_string(caller_index))) {
    caller.entries.push_back(entry_by_address_[address]);
  }
  caller.position = 0;
  caller.fetched = now_;
}

void simulation::OnLostCallNoticed(std::uint32_t entry, call_id id) {
  const std::size_t position = PositionOf(id);
  call_history& history = result_.calls[position];
  if (history.status != call_status::kPending ||
      history.request != RequestOf(id)) {
    return;
  }
  const planned_call& planned = scenario_.work.calls[position];
  caller_record& caller = callers_[planned.caller];
  if (caller.entries[caller.position % caller.entries.size()] == entry)
    ++caller.position;
  const workload_class& kind = WorkloadClasses()[planned.work_class];
  const bool may_repeat = !history.reached_entry_vm || !kind.once_only;
  if (may_repeat && now_ < planned.start + kind.patience) {
    if (history.reached_entry_vm) {
      ++history.request;
      history.request_runs = 0;
    }
    SendCall(position);
    return;
  }
  history.status = history.reached_entry_vm || history.request > 1
                       ? call_status::kUnknown
                       : call_status::kNotRun;
  history.ended = now_;
}

void simulation::OnResultAtCaller(const delivery& delivered) {
  call_history& history = result_.calls[PositionOf(delivered.call)];
  if (history.status != call_status::kPending ||
      history.request != RequestOf(delivered.call)) {
    return;
  }
  history.status = delivered.status;
  history.reason = delivered.reason;
  history.ended = now_;
}

void simulation::OnCallAtEntry(std::uint32_t entry_index, call_id id) {
  entry_vm& entry = entries_[entry_index];
  const std::size_t position = PositionOf(id);
  call_history& history = result_.calls[position];
  if (!entry.is_alive) {
    events_.Push(now_ - scenario_.size.to_caller + kCallerConnectTimeout,
                 event_kind::kLostCallNoticed, entry_index, id);
    return;
  }
  EnsurePolicy(entry_index);
  history.reached_entry_vm = true;
  entry.pending.insert(id);
  const planned_call& planned = scenario_.work.calls[position];
  const workload_class& kind = WorkloadClasses()[planned.work_class];
  call submitted;
  submitted.id = id;
  submitted.work_class = kind.name;
  submitted.importance = kind.importance;
  submitted.once_only = kind.once_only;
  submitted.arrival = now_;
  submitted.deadline = planned.start + scenario_.size.to_caller + kind.patience;
  submitted.caller_attempt = history.request;
  entry.policy->submit(submitted, now_);
  ScheduleTimer(entry_index);
}

void simulation::OnEntryTimer(std::uint32_t entry_index) {
  entry_vm& entry = entries_[entry_index];
  // A timer that was overtaken by an earlier one is left in the queue; one
  // that was due in a pause runs late.
  if (!entry.timer || *entry.timer > now_)
    return;
  entry.timer.reset();
  entry.policy->advance(now_);
  ScheduleTimer(entry_index);
}

void simulation::OnAnswerAtEntry(std::uint64_t attempt) {
  attempt_record& record = attempts_[attempt];
  entry_vm& entry = entries_[record.entry];
  if (record.has_ended || record.generation != entry.generation)
    return;
  const attempt_report report = record.report;
  const bool keeps_connection =
      !report.is_leaving && report.result != attempt_result::kStaleConnection;
  if (keeps_connection)
    entry.pools[record.server].push_back({record.opened, now_});
  const std::uint32_t entry_index = record.entry;
  EndAttempt(record);
  entry.policy->report(report, now_);
  entry.attempts.erase(report.id);
  ScheduleTimer(entry_index);
}

void simulation::OnAttemptTimeout(std::uint64_t attempt) {
  attempt_record& record = attempts_[attempt];
  entry_vm& entry = entries_[record.entry];
  if (record.has_ended || record.generation != entry.generation)
    return;
  attempt_report report;
  report.id = record.local;
  report.result = record.is_reused ? attempt_result::kStaleConnection
                                   : attempt_result::kUnknown;
  const std::uint32_t entry_index = record.entry;
  EndAttempt(record);
  entry.policy->report(report, now_);
  entry.attempts.erase(report.id);
  ScheduleTimer(entry_index);
}

std::uint32_t simulation::FindHome(int rank) const {
  std::vector<network_address> alive;
  for (const entry_vm& each : entries_) {
    if (each.is_alive)
      alive.push_back(each.address);
  }
  const std::vector<network_address> ranked =
      OrderEntryVms(scenario_.size.service, alive, 1, "");
  return entry_by_address_.at(
      ranked[static_cast<std::size_t>(rank) % ranked.size()]);
}

std::optional<std::uint32_t> simulation::EntryOf(const event& next) const {
  switch (next.kind) {
    case event_kind::kCallAtEntry:
    case event_kind::kEntryTimer:
    case event_kind::kFindingAtEntry:
      return next.index;
    case event_kind::kAnswerAtEntry:
    case event_kind::kAttemptTimeout:
      return attempts_[next.id].entry;
    case event_kind::kProbeAtEntry:
      return probes_[next.id].entry;
    default:
      return std::nullopt;
  }
}

void simulation::OnEntryPauses(std::uint32_t pause) {
  entries_[FindHome(0)].paused_until = scenario_.pauses[pause].end;
}

void simulation::OnEntryDies(std::uint32_t outage) {
  const std::uint32_t victim = FindHome(scenario_.outages[outage].rank);
  outage_victims_[outage] = victim;
  entry_vm& entry = entries_[victim];
  std::vector<call_id> lost(entry.pending.begin(), entry.pending.end());
  std::sort(lost.begin(), lost.end());
  for (const call_id id : lost) {
    events_.Push(now_ + kCallerConnectTimeout, event_kind::kLostCallNoticed,
                 victim, id);
  }
  ++entry.generation;
  entry.is_alive = false;
  entry.changed = now_;
  entry.policy.reset();
  entry.timer.reset();
  entry.pending.clear();
  entry.attempts.clear();
  std::fill(entry.in_flight.begin(), entry.in_flight.end(), 0);
  for (std::vector<pooled_connection>& pool : entry.pools)
    pool.clear();
}

void simulation::OnEntryReplaced(std::uint32_t outage) {
  entry_vm& entry = entries_[outage_victims_[outage]];
  entry.is_alive = true;
  entry.changed = now_;
}

void simulation::EnsurePolicy(std::uint32_t entry_index) {
  entry_vm& entry = entries_[entry_index];
  if (entry.policy)
    return;
  entry.policy = MakePolicy(entry_index);
  UpdateEndpoints(entry_index);
}

entry_policy simulation::MakePolicy(std::uint32_t entry_index) {
  dispatch_hooks hooks;
  hooks.start_attempt = [this, entry_index](const attempt_order& order) {
    StartAttempt(entry_index, order);
  };
  hooks.cancel_attempt = [this, entry_index](attempt_id id) {
    CancelAttempt(entry_index, id);
  };
  hooks.finish_call = [this, entry_index](const call_result& result) {
    FinishCall(entry_index, result);
  };
  hooks.start_probe = [this, entry_index](const network_address& endpoint) {
    StartProbe(entry_index, endpoint);
  };
  hooks.share_finding = [this, entry_index](const endpoint_finding& finding) {
    ShareFinding(entry_index, finding);
  };
  const random_source random = [this, entry_index] {
    return entry_random_[entry_index]();
  };
  if (policy_.custom)
    return policy_.custom(hooks);
  switch (policy_.kind) {
    case policy_kind::kRandom:
      return direct_policy::Make(hooks, ChooseAtRandom(random));
    case policy_kind::kBetterOfTwo:
      return direct_policy::Make(hooks, ChooseBetterOfTwo(random));
    case policy_kind::kPerfect:
      return direct_policy::Make(
          hooks,
          [this](const std::vector<direct_candidate>&, const call& chosen_for,
                 monotonic_time) { return ChoosePerfect(chosen_for); });
    case policy_kind::kDispatcher:
      break;
  }
  return MakeDispatcherPolicy(Settings(), hooks, random);
}

void simulation::StartAttempt(std::uint32_t entry_index,
                              const attempt_order& order) {
  const auto found = server_by_address_.find(order.endpoint);
  if (found == server_by_address_.end()) {
    ++result_.faults.unknown_endpoint;
    return;
  }
  entry_vm& entry = entries_[entry_index];
  const std::uint32_t server_index = found->second;
  fake_server& server = servers_[server_index];
  const std::uint64_t attempt = attempts_.size();
  attempt_record record;
  record.local = order.id;
  record.call = order.call;
  record.entry = entry_index;
  record.generation = entry.generation;
  record.server = server_index;
  record.report.id = order.id;
  entry.attempts[order.id] = attempt;
  ++entry.in_flight[server_index];
  const bool has_slot_limit = policy_.kind == policy_kind::kDispatcher;
  if (has_slot_limit &&
      entry.in_flight[server_index] > Settings().slots_per_endpoint) {
    ++result_.faults.slot_excess;
  }
  if (order.is_hedge)
    ++result_.hedges;

  const time_span to_server = scenario_.size.to_server;
  // Servers close their connections when they stop, so the pool knows.
  if (!server.AcceptsConnections(now_ - to_server))
    entry.pools[server_index].clear();
  const std::optional<pooled_connection> reused =
      order.needs_new_connection
          ? std::nullopt
          : TakeConnection(entry, server_index, order.needs_live_connection);
  record.is_reused = reused.has_value();
  record.opened = reused ? reused->opened : now_ + scenario_.size.connect;
  const monotonic_time arrival = std::max(record.opened, now_) + to_server;
  const bool is_lost =
      reused && IsSilent(entry_index, server_index, reused->opened, now_);
  attempts_.push_back(record);
  const bool has_first_byte_timeout =
      reused && order.first_byte_timeout.count() > 0;
  const monotonic_time gives_up =
      has_first_byte_timeout
          ? std::min(order.deadline, now_ + order.first_byte_timeout)
          : order.deadline;
  events_.Push(gives_up, event_kind::kAttemptTimeout, 0, attempt);
  if (is_lost)
    return;
  const planned_call& planned = scenario_.work.calls[PositionOf(order.call)];
  server.Announce({attempt, planned.work, order.deadline});
  events_.Push(arrival, event_kind::kAttemptAtServer, 0, attempt);
}

void simulation::CancelAttempt(std::uint32_t entry_index, attempt_id local) {
  entry_vm& entry = entries_[entry_index];
  const auto found = entry.attempts.find(local);
  if (found == entry.attempts.end() || attempts_[found->second].has_ended) {
    ++result_.faults.unknown_attempt;
    return;
  }
  const std::uint64_t attempt = found->second;
  entry.attempts.erase(found);
  EndAttempt(attempts_[attempt]);
  events_.Push(now_ + scenario_.size.to_server, event_kind::kCancelAtServer, 0,
               attempt);
}

void simulation::FinishCall(std::uint32_t entry_index,
                            const call_result& result) {
  entry_vm& entry = entries_[entry_index];
  if (entry.pending.erase(result.call) == 0) {
    ++result_.faults.repeated_finish;
    return;
  }
  delivery delivered;
  delivered.call = result.call;
  delivered.reason = result.reason;
  switch (result.outcome) {
    case call_outcome::kAnswered: {
      const auto found = entry.attempts.find(result.answered_by);
      const bool is_error = found != entry.attempts.end() &&
                            attempts_[found->second].report.is_server_error;
      delivered.status =
          is_error ? call_status::kServerError : call_status::kAnswered;
      break;
    }
    case call_outcome::kNotRun:
      delivered.status = call_status::kNotRun;
      break;
    case call_outcome::kUnknown:
      delivered.status = call_status::kUnknown;
      break;
  }
  events_.Push(now_ + scenario_.size.to_caller, event_kind::kResultAtCaller,
               entry_index, deliveries_.size());
  deliveries_.push_back(delivered);
}

void simulation::EndAttempt(attempt_record& attempt) {
  attempt.has_ended = true;
  --entries_[attempt.entry].in_flight[attempt.server];
}

void simulation::ScheduleTimer(std::uint32_t entry_index) {
  entry_vm& entry = entries_[entry_index];
  const std::optional<monotonic_time> due = entry.policy->next_deadline();
  if (!due || (entry.timer && *entry.timer <= *due))
    return;
  const monotonic_time at = std::max(*due, now_ + kTimerStep);
  if (entry.timer && *entry.timer <= at)
    return;
  entry.timer = at;
  events_.Push(at, event_kind::kEntryTimer, entry_index, 0);
}

std::optional<simulation::pooled_connection> simulation::TakeConnection(
    entry_vm& entry,
    std::uint32_t server,
    bool needs_live) {
  std::vector<pooled_connection>& pool = entry.pools[server];
  if (pool.empty())
    return std::nullopt;
  const pooled_connection newest = pool.back();
  const time_span limit = needs_live ? kProofOfLife : kIdleLimit;
  if (now_ - newest.last_used > limit)
    return std::nullopt;
  pool.pop_back();
  return newest;
}

void simulation::StartProbe(std::uint32_t entry_index,
                            const network_address& endpoint) {
  const auto found = server_by_address_.find(endpoint);
  if (found == server_by_address_.end()) {
    ++result_.faults.unknown_endpoint;
    return;
  }
  ++result_.probes;
  events_.Push(now_ + scenario_.size.connect + scenario_.size.to_server,
               event_kind::kProbeAtServer, 0, probes_.size());
  probes_.push_back(
      {entry_index, entries_[entry_index].generation, found->second, false});
}

void simulation::OnProbeAtServer(std::uint64_t probe) {
  fake_server& server = servers_[probes_[probe].server];
  const service_definition definition;
  const offer_result offered = server.Offer(
      {kProbeFlag | probe, definition.probe_cost, monotonic_time::max()}, now_);
  if (offered != offer_result::kAccepted)
    AnswerProbe(probe, false);
}

void simulation::OnProbeAtEntry(std::uint64_t probe) {
  const probe_record& record = probes_[probe];
  entry_vm& entry = entries_[record.entry];
  if (record.generation != entry.generation)
    return;
  const std::uint32_t entry_index = record.entry;
  entry.policy->report_probe(server_addresses_[record.server], record.succeeded,
                             now_);
  ScheduleTimer(entry_index);
}

void simulation::AnswerProbe(std::uint64_t probe, bool succeeded) {
  probe_record& record = probes_[probe];
  record.succeeded = succeeded && !servers_[record.server].IsDraining(now_);
  events_.Push(now_ + scenario_.size.to_server, event_kind::kProbeAtEntry, 0,
               probe);
}

void simulation::ShareFinding(std::uint32_t entry_index,
                              const endpoint_finding& finding) {
  for (std::uint32_t other = 0; other < entries_.size(); ++other) {
    const bool is_cut_off = IsPartitioned() && other % 2 != entry_index % 2;
    if (other == entry_index || is_cut_off || !entries_[other].policy)
      continue;
    // Between entry VMs it takes as long as between these and the servers.
    events_.Push(now_ + scenario_.size.to_server, event_kind::kFindingAtEntry,
                 other, findings_.size());
  }
  findings_.push_back(finding);
}

void simulation::OnFindingAtEntry(std::uint32_t entry_index,
                                  const endpoint_finding& finding) {
  entry_vm& entry = entries_[entry_index];
  if (!entry.policy || !entry.policy->apply_finding)
    return;
  entry.policy->apply_finding(finding, now_);
  ScheduleTimer(entry_index);
}

void simulation::OnEntryTick() {
  for (std::uint32_t index = 0; index < entries_.size(); ++index) {
    entry_vm& entry = entries_[index];
    const bool is_paused = entry.paused_until > now_;
    if (is_paused || !entry.policy || !entry.policy->confirm_bundle)
      continue;
    entry.policy->confirm_bundle(now_);
    entry.policy->advance(now_);
    ScheduleTimer(index);
  }
  events_.Push(now_ + kTickEvery, event_kind::kEntryTick, 0, 0);
}

void simulation::OnViewsChange() {
  for (std::uint32_t index = 0; index < entries_.size(); ++index) {
    // This reaches a paused process too; no scenario depends on that.
    if (!entries_[index].policy)
      continue;
    entries_[index].policy->configure(Settings(), now_);
    UpdateEndpoints(index);
  }
}

bool simulation::IsPartitioned() const {
  const std::optional<time_period>& period = scenario_.partition;
  return period && period->start + kDeathNoticed <= now_ &&
         now_ < period->end + kReplacementNoticed;
}

std::vector<network_address> simulation::LiveEntries(
    std::uint32_t group) const {
  std::vector<network_address> live;
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    const entry_vm& entry = entries_[index];
    if (IsPartitioned() && index % 2 != group)
      continue;
    const bool has_changed = entry.changed != monotonic_time::min();
    const bool seems_alive =
        !has_changed ||
        (entry.is_alive ? now_ - entry.changed >= kReplacementNoticed
                        : now_ - entry.changed < kDeathNoticed);
    if (seems_alive)
      live.push_back(entry.address);
  }
  return live;
}

std::vector<endpoint_info> simulation::ListedEndpoints() const {
  monotonic_time view = now_;
  const std::optional<time_period>& frozen = scenario_.frozen_vm_list;
  if (frozen && frozen->start <= now_ && now_ < frozen->end)
    view = frozen->start;
  std::vector<endpoint_info> listed;
  for (std::size_t index = 0; index < servers_.size(); ++index) {
    const server_plan& plan = servers_[index].plan();
    const bool is_present =
        plan.starts == monotonic_time{} || IsListedAt(plan.starts, view);
    if (!is_present || IsListedAt(plan.closes, view))
      continue;
    endpoint_info info;
    info.address = server_addresses_[index];
    info.is_leaving = IsListedAt(plan.drains, view);
    listed.push_back(info);
  }
  return listed;
}

void simulation::UpdateEndpoints(std::uint32_t entry_index) {
  entry_vm& entry = entries_[entry_index];
  if (policy_.kind == policy_kind::kPerfect) {
    std::vector<endpoint_info> all(servers_.size());
    for (std::size_t index = 0; index < all.size(); ++index)
      all[index].address = server_addresses_[index];
    entry.policy->set_endpoints(all, now_);
    return;
  }
  std::vector<endpoint_info> endpoints = ListedEndpoints();
  if (!policy_.uses_all_entry_vms) {
    endpoints =
        SelectEndpoints(scenario_.size.service, LiveEntries(entry_index % 2),
                        policy_.homes, entry.address, endpoints);
  }
  entry.policy->set_endpoints(endpoints, now_);
  ScheduleTimer(entry_index);
}

dispatch_settings simulation::Settings() const {
  service_definition definition;
  definition.name = scenario_.size.service;
  definition.slots_per_endpoint = scenario_.size.slots;
  definition.homes = policy_.homes;
  if (scenario_.old_bundle_until && now_ < *scenario_.old_bundle_until)
    definition.slots_per_endpoint *= 2;
  return dispatch_settings::From(definition);
}

std::size_t simulation::ChoosePerfect(const call& chosen_for) const {
  const planned_call& planned = scenario_.work.calls[PositionOf(chosen_for.id)];
  std::size_t best = 0;
  monotonic_time best_completion = monotonic_time::max();
  for (std::size_t index = 0; index < servers_.size(); ++index) {
    const monotonic_time completion =
        servers_[index].ExpectedCompletion(planned.work, now_);
    if (completion < best_completion) {
      best = index;
      best_completion = completion;
    }
  }
  return best;
}

void simulation::OnAttemptAtServer(std::uint64_t attempt) {
  const attempt_record& record = attempts_[attempt];
  fake_server& server = servers_[record.server];
  server.AnnouncedArrived(attempt);
  if (record.is_withdrawn)
    return;
  const std::size_t position = PositionOf(record.call);
  const planned_call& planned = scenario_.work.calls[position];
  const workload_class& kind = WorkloadClasses()[planned.work_class];
  const monotonic_time deadline =
      planned.start + scenario_.size.to_caller + kind.patience;
  switch (server.Offer({attempt, planned.work, deadline}, now_)) {
    case offer_result::kAccepted:
      if (server.IsDraining(now_ - kLeavingNoticed))
        ++result_.late_work;
      break;
    case offer_result::kRefused:
      // On a reused connection nobody can tell whether the request got there.
      Answer(attempt, record.is_reused ? attempt_result::kStaleConnection
                                       : attempt_result::kNotRun);
      break;
    case offer_result::kShed:
      Answer(attempt, attempt_result::kNotRun);
      break;
    case offer_result::kServerError:
      attempts_[attempt].report.is_server_error = true;
      Answer(attempt, attempt_result::kAnswered);
      break;
  }
}

void simulation::OnServerDone(std::uint64_t attempt) {
  if ((attempt & kProbeFlag) != 0) {
    const std::uint64_t probe = attempt & ~kProbeFlag;
    if (servers_[probes_[probe].server].Complete(attempt, now_))
      AnswerProbe(probe, true);
    return;
  }
  if (servers_[attempts_[attempt].server].Complete(attempt, now_))
    Answer(attempt, attempt_result::kAnswered);
}

void simulation::OnCancelAtServer(std::uint64_t attempt) {
  attempts_[attempt].is_withdrawn = true;
  servers_[attempts_[attempt].server].Cancel(attempt, now_);
}

void simulation::OnJobStarts(job_id job, monotonic_time finishes) {
  events_.Push(finishes, event_kind::kServerDone, 0, job);
  if ((job & kProbeFlag) != 0)
    return;
  const call_id id = attempts_[job].call;
  call_history& history = result_.calls[PositionOf(id)];
  ++history.runs;
  if (history.request == RequestOf(id))
    ++history.request_runs;
}

void simulation::Answer(std::uint64_t attempt, attempt_result result) {
  attempt_record& record = attempts_[attempt];
  const fake_server& server = servers_[record.server];
  record.report.result = result;
  record.report.is_leaving =
      server.IsDraining(now_) && result != attempt_result::kStaleConnection;
  record.report.load = server.Load();
  if (IsSilent(record.entry, record.server, record.opened, now_))
    return;
  events_.Push(now_ + scenario_.size.to_server, event_kind::kAnswerAtEntry, 0,
               attempt);
}

bool simulation::IsSilent(std::uint32_t entry,
                          std::uint32_t server,
                          monotonic_time opened,
                          monotonic_time at) const {
  for (const silence& each : servers_[server].plan().silences) {
    const bool is_affected =
        each.entry_vm < 0 || each.entry_vm == static_cast<int>(entry);
    if (is_affected && opened <= each.at && each.at <= at)
      return true;
  }
  return false;
}

}  // namespace papayakeel::bench
