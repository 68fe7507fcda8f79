// Shard ownership, slot messages, and the handover of requests between owners.
#include "modules/slot_link/slot_link.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include <boost/asio/post.hpp>

#include "drivers/event_loop.h"
#include "drivers/logging.h"
#include "modules/endpoint_link/endpoint_link.h"
#include "servers/discovery/endpoint_registry.h"
#include "servers/discovery/evacuated_zones.h"
#include "servers/membership/entry_directory.h"
#include "servers/placement/duty_placement.h"
#include "servers/routing/desired_state_store.h"

namespace papayakeel {

namespace {

// An owner answers within 2 ms on an idle network path; a slow machine takes
// several times as long.
constexpr time_span kResendDelay = std::chrono::milliseconds(40);
// Interval at which a queued request is submitted again, which detects an owner
// that failed or lost the request.
constexpr time_span kQueuedPollInterval = std::chrono::milliseconds(150);
constexpr int kMaxUnansweredMessages = 3;
// How long an owner that did not answer is excluded.
constexpr time_span kOwnerExclusionTime = std::chrono::seconds(2);

// How long an owner that is not ready is excluded. A VM that has just started
// is ready within about a second. A longer exclusion would delay the return to
// the one owner that all members choose.
constexpr time_span kUnreadyOwnerExclusionTime = std::chrono::milliseconds(300);

// Draws of an endpoint outside evacuated zones, which determines the shard of a
// request. With three of four zones evacuated, one draw sequence in 10,000
// finds none.
constexpr int kMaxShardDraws = 32;

constexpr time_span kTimerInterval = std::chrono::milliseconds(20);

// Limits the rate of log lines about the state of shards. Incidents last longer
// than this interval.
constexpr time_span kMinStateLogInterval = std::chrono::seconds(1);

// Share of the status check budget that one owner uses. Two entry VMs that both
// act as the owner of a shard together stay near the budget.
constexpr double kProbeBudgetShare = 0.6;
// Share of the repeats allowed on top of the ratio that one owner uses. The
// rest covers successive owners within one window.
constexpr double kRepeatSlackShare = 0.25;

// An endpoint answers a status check in 2 to 8 ms.
constexpr time_span kProbeTimeout = std::chrono::milliseconds(80);

// Returns `class=number` for each work class, separated by spaces.
template <typename value_type, typename to_number>
std::string FormatByClass(const std::map<std::string, value_type>& values,
                          const to_number& convert) {
  std::string text;
  for (const auto& [work_class, value] : values) {
    text += (text.empty() ? "" : " ") + work_class + "=" +
            std::to_string(convert(value));
  }
  return text;
}

slot_message MakeMessage(slot_message_type type,
                         const service_shard& shard,
                         const request_key& key) {
  slot_message message;
  message.type = type;
  message.shard = shard;
  message.request.key = key;
  return message;
}

}  // namespace

slot_link::slot_link(service_registry& registry,
                     const entry_settings& settings,
                     random_source random)
    : registry_(registry),
      settings_(settings),
      random_(std::move(random)),
      // A random start avoids reuse of the request numbers of an earlier
      // process at this address.
      next_number_(random_() >> 16) {}

slot_link::~slot_link() = default;

void slot_link::Start() {
  loop_ = registry_.Find<event_loop>(event_loop::kName);
  directory_ = registry_.Find<entry_directory>(entry_directory::kName);
  endpoints_ = registry_.Find<endpoint_registry>(endpoint_registry::kName);
  zones_ = registry_.Find<evacuated_zones>(evacuated_zones::kName);
  link_ = registry_.Find<endpoint_link>(endpoint_link::kName);
  state_store_ =
      registry_.Find<desired_state_store>(desired_state_store::kName);
  timer_.emplace(loop_->context());
  socket_.emplace(loop_->context());
  endpoints_->Subscribe([this](const std::string& service_name) {
    RefreshEndpoints(service_name);
  });
  state_store_->Subscribe([this] {
    for (auto& [shard, owned] : owned_) {
      owned.scheduler->SetWarmUpRate(WarmUpRateOf(shard.service),
                                     event_loop::Now());
    }
  });
  zones_->Subscribe([this] { RefreshZones(); });
  directory_->Subscribe([this] {
    owners_.clear();
    ReassignRequests();
  });
  link_->SetLeavingHook([this](const endpoint_exchange& exchange) {
    OnEndpointLeaving(exchange.endpoint_id, exchange.endpoint_started_unix_ms,
                      "answer");
  });
}

void slot_link::Stop() {
  is_stopped_ = true;
  timer_.reset();
  socket_.reset();
  owned_.clear();
}

bool slot_link::Listen() {
  boost::system::error_code error;
  const boost::asio::ip::address host =
      boost::asio::ip::make_address(settings_.slot_listen.host, error);
  if (error)
    return false;
  const boost::asio::ip::udp::endpoint local(host, settings_.slot_listen.port);
  socket_->open(local.protocol(), error);
  if (error)
    return false;
  socket_->bind(local, error);
  if (error)
    return false;
  socket_->non_blocking(true, error);
  Receive();
  RunTimer();
  return true;
}

bool slot_link::IsSelf(const network_address& peer) const {
  return peer == directory_->self().peer_address;
}

service_shard slot_link::ChooseShard(const std::string& service_name) {
  const std::vector<std::string>& ids = endpoints_->IdsOf(service_name);
  service_shard shard{service_name, 0, ShardCount(ids.size())};
  if (shard.count > 1) {
    // Round robin over the endpoints selects each shard in proportion to its
    // number of endpoints.
    std::size_t index = next_number_ % ids.size();
    for (int draw = 0; draw < kMaxShardDraws && IsEvacuated(ids[index]); ++draw)
      index = random_() % ids.size();
    shard.index = ShardOf(ids[index], shard.count);
  }
  return shard;
}

std::vector<endpoint_entry> slot_link::EndpointsOf(
    const service_shard& shard) const {
  std::vector<endpoint_entry> entries;
  for (const std::string& id : endpoints_->IdsOf(shard.service)) {
    const endpoint_entry* entry = endpoints_->Find(id);
    if (entry == nullptr || ShardOf(id, shard.count) != shard.index)
      continue;
    entries.push_back(*entry);
    // An evacuated endpoint counts as leaving instead of being left out. An
    // attempt there that another owner granted can then be adopted, and is
    // tried again elsewhere if it fails.
    entries.back().is_leaving |= zones_->Contains(entry->availability_zone);
  }
  return entries;
}

double slot_link::WarmUpRateOf(const std::string& service_name) const {
  const std::shared_ptr<const route_table> routes = state_store_->routes();
  if (!routes)
    return 0;
  const auto profile = routes->state().services.find(service_name);
  return profile == routes->state().services.end()
             ? 0
             : profile->second.warm_up_rate;
}

bool slot_link::IsEvacuated(const std::string& endpoint_id) const {
  const endpoint_entry* entry = endpoints_->Find(endpoint_id);
  return entry != nullptr && zones_->Contains(entry->availability_zone);
}

network_address slot_link::OwnerOf(const service_shard& shard) {
  const monotonic_time now = event_loop::Now();
  for (auto each = excluded_until_.begin(); each != excluded_until_.end();)
    each = now < each->second ? std::next(each) : excluded_until_.erase(each);
  if (!excluded_until_.empty())
    return SelectOwner(shard);
  const auto known = owners_.find(shard);
  return known != owners_.end()
             ? known->second
             : owners_.emplace(shard, SelectOwner(shard)).first->second;
}

network_address slot_link::SelectOwner(const service_shard& shard) {
  ++owner_selections_;
  const std::vector<member> owners = SelectMembersForDuty(
      shard.Name(), directory_->members(), 1, [this](const member& each) {
        return excluded_until_.count(each.peer_address) > 0;
      });
  return owners.empty() ? directory_->self().peer_address
                        : owners.front().peer_address;
}

slot_link::owned_shard& slot_link::EnsureOwned(const service_shard& shard) {
  owned_shard& owned = owned_[shard];
  if (owned.scheduler)
    return owned;
  slot_settings settings;
  settings.service = shard.Name();
  settings.repeats.ratio = settings_.repeat_ratio;
  settings.repeats.window = settings_.repeat_window;
  settings.repeats.slack =
      settings_.repeat_slack * kRepeatSlackShare / shard.count;
  settings.probes_per_second = settings_.probes_per_second * kProbeBudgetShare;
  owned.scheduler =
      std::make_unique<slot_scheduler>(settings, MakeHooks(shard), random_);
  owned.timer = std::make_unique<boost::asio::steady_timer>(loop_->context());
  owned.scheduler->SetWarmUpRate(WarmUpRateOf(shard.service),
                                 event_loop::Now());
  owned.scheduler->SetEndpoints(EndpointsOf(shard), event_loop::Now());
  Log(log_level::kInfo, "shard_owned", {{"shard", shard.Name()}});
  return owned;
}

slot_hooks slot_link::MakeHooks(const service_shard& shard) {
  slot_hooks hooks;
  hooks.grant = [this, shard](const slot_grant& grant) {
    SendGrant(shard, grant);
  };
  hooks.reject = [this, shard](const slot_rejection& rejection) {
    SendRejection(shard, rejection);
  };
  hooks.probe = [this, shard](const endpoint_entry& endpoint) {
    StartProbe(shard, endpoint);
  };
  return hooks;
}

void slot_link::SendGrant(const service_shard& shard, const slot_grant& grant) {
  Log(log_level::kInfo, "slot_granted",
      {{"request", grant.caller_id},
       {"holder", grant.request.entry_vm},
       {"shard", shard.Name()},
       {"endpoint", grant.endpoint.id},
       {"hedge", grant.is_hedge ? "true" : "false"},
       {"zone", ToString(grant.zone)}});
  const network_address self = directory_->self().peer_address;
  if (grant.request.entry_vm == self.ToString()) {
    // Posted because a hook must not call the scheduler before the scheduler
    // returns.
    boost::asio::post(loop_->context(), [this, shard, self, grant] {
      OnGrant(shard, self, grant);
    });
    return;
  }
  slot_message message =
      MakeMessage(slot_message_type::kGrant, shard, grant.request);
  message.attempt = grant.attempt;
  message.endpoint_id = grant.endpoint.id;
  message.is_hedge = grant.is_hedge;
  SendToHolder(message);
}

void slot_link::SendRejection(const service_shard& shard,
                              const slot_rejection& rejection) {
  Log(log_level::kInfo, "slot_refused",
      {{"request", rejection.caller_id},
       {"holder", rejection.request.entry_vm},
       {"shard", shard.Name()},
       {"reason", ToString(rejection.reason)},
       {"retry_after_ms",
        std::to_string(ToMilliseconds(rejection.retry_after))}});
  if (rejection.request.entry_vm ==
      directory_->self().peer_address.ToString()) {
    boost::asio::post(loop_->context(),
                      [this, rejection] { OnReject(rejection); });
    return;
  }
  slot_message message =
      MakeMessage(slot_message_type::kReject, shard, rejection.request);
  message.reason = rejection.reason;
  message.retry_after = rejection.retry_after;
  SendToHolder(message);
}

void slot_link::StartProbe(const service_shard& shard,
                           const endpoint_entry& endpoint) {
  std::string path = "/";
  const std::shared_ptr<const route_table> routes = state_store_->routes();
  if (routes) {
    const auto profile = routes->state().services.find(shard.service);
    if (profile != routes->state().services.end())
      path = profile->second.status_check_path;
  }
  endpoint_exchange exchange;
  exchange.endpoint_id = endpoint.id;
  exchange.endpoint_started_unix_ms = endpoint.started_unix_ms;
  exchange.address = endpoint.address;
  exchange.header = "GET " + path +
                    " HTTP/1.1\r\nHost: " + endpoint.address.ToString() +
                    "\r\n\r\n";
  exchange.may_send = [this, endpoint] { return IsUsable(endpoint); };
  exchange.deadline = event_loop::Now() + kProbeTimeout;
  link_->Begin(std::move(exchange), [this, shard, id = endpoint.id](
                                        const endpoint_result& result) {
    const auto owned = owned_.find(shard);
    if (is_stopped_ || owned == owned_.end())
      return;
    owned->second.scheduler->ReportProbe(id, result.load, event_loop::Now());
    Reschedule(shard);
  });
}

void slot_link::RefreshEndpoints(const std::string& service_name) {
  for (auto& [shard, owned] : owned_) {
    if (shard.service != service_name)
      continue;
    owned.scheduler->SetEndpoints(EndpointsOf(shard), event_loop::Now());
    Reschedule(shard);
  }
}

void slot_link::RefreshZones() {
  for (auto& [shard, owned] : owned_) {
    const monotonic_time now = event_loop::Now();
    owned.scheduler->SetEndpoints(EndpointsOf(shard), now);
    if (!zones_->zones().empty())
      owned.scheduler->RefuseWithoutEndpoint(now);
    Reschedule(shard);
  }
}

void slot_link::Reschedule(const service_shard& shard) {
  owned_shard& owned = owned_.at(shard);
  const std::optional<monotonic_time> due = owned.scheduler->NextDeadline();
  if (!due) {
    owned.timer->cancel();
    owned.timer_due.reset();
    return;
  }
  if (owned.timer_due && *owned.timer_due <= *due)
    return;
  owned.timer_due = due;
  owned.timer->expires_at(*due);
  owned.timer->async_wait(
      [this, shard](const boost::system::error_code& error) {
        if (error || is_stopped_)
          return;
        owned_shard& expired_shard = owned_.at(shard);
        expired_shard.timer_due.reset();
        expired_shard.scheduler->Advance(event_loop::Now());
        Reschedule(shard);
      });
}

std::uint64_t slot_link::Acquire(const std::string& service_name,
                                 slot_request request,
                                 slot_client_hooks hooks) {
  const service_shard shard = ChooseShard(service_name);
  const std::uint64_t number = next_number_++;
  request.key.entry_vm = directory_->self().peer_address.ToString();
  request.key.number = number;
  request.link_bytes_per_second = settings_.link_bytes_per_second;
  held_request& held = held_[number];
  held.shard = shard;
  held.request = std::move(request);
  held.hooks = std::move(hooks);
  held.owner = OwnerOf(shard);
  Submit(held);
  return number;
}

void slot_link::Submit(held_request& held) {
  const monotonic_time now = event_loop::Now();
  held.resend_at = now + kResendDelay;
  if (IsSelf(held.owner)) {
    held.is_confirmed = true;
    owned_shard& owned = EnsureOwned(held.shard);
    owned.scheduler->Submit(held.request, now);
    Reschedule(held.shard);
    return;
  }
  ++held.unanswered_messages;
  slot_message message =
      MakeMessage(slot_message_type::kSubmit, held.shard, held.request.key);
  message.request = held.request;
  Send(held.owner, message);
}

void slot_link::Report(std::uint64_t number,
                       std::uint64_t attempt,
                       attempt_outcome outcome,
                       const std::optional<endpoint_load>& load,
                       const std::optional<answer_transfer>& transfer) {
  const auto found = held_.find(number);
  if (found == held_.end())
    return;
  held_request& held = found->second;
  slot_message message =
      MakeMessage(slot_message_type::kReport, held.shard, held.request.key);
  const auto running = held.attempts.find(attempt);
  const endpoint_entry* endpoint = running == held.attempts.end()
                                       ? nullptr
                                       : endpoints_->Find(running->second);
  if (endpoint != nullptr && endpoints_->HasAnnouncedLeaving(
                                 endpoint->id, endpoint->started_unix_ms)) {
    message.leaving_endpoint = {endpoint->id, endpoint->started_unix_ms};
  }
  held.attempts.erase(attempt);
  held.resend_at = event_loop::Now() + kResendDelay;
  message.attempt = attempt;
  message.outcome = outcome;
  message.load = load;
  message.transfer = transfer;
  SendToOwner(held.owner, message);
}

void slot_link::ReportTransferStart(std::uint64_t number,
                                    std::uint64_t attempt,
                                    const answer_transfer& transfer) {
  const auto found = held_.find(number);
  if (found == held_.end())
    return;
  const held_request& held = found->second;
  slot_message message = MakeMessage(slot_message_type::kTransferStart,
                                     held.shard, held.request.key);
  message.attempt = attempt;
  message.transfer = transfer;
  SendToOwner(held.owner, message);
}

void slot_link::End(std::uint64_t number) {
  const auto found = held_.find(number);
  if (found == held_.end())
    return;
  const held_request held = std::move(found->second);
  held_.erase(found);
  if (held.is_rejected && !IsSelf(held.owner))
    return;
  SendToOwner(held.owner, MakeMessage(slot_message_type::kCancel, held.shard,
                                      held.request.key));
}

void slot_link::OnGrant(const service_shard& shard,
                        const network_address& owner,
                        const slot_grant& grant) {
  const auto found = held_.find(grant.request.number);
  if (found == held_.end() || found->second.owner != owner)
    return ReturnGrant(shard, owner, grant.request);
  held_request& held = found->second;
  if (held.attempts.count(grant.attempt) > 0)
    return;
  held.attempts[grant.attempt] = grant.endpoint.id;
  if (!IsUsable(grant.endpoint)) {
    // The endpoint lists of this process and of the owner differ.
    Log(log_level::kWarning, "grant_unusable",
        {{"request", held.request.caller_id}, {"endpoint", grant.endpoint.id}});
    return Report(grant.request.number, grant.attempt,
                  attempt_outcome::kNotSent, std::nullopt);
  }
  ++held.request.earlier_attempts;
  const slot_client_hooks hooks = held.hooks;
  hooks.granted(grant);
}

bool slot_link::IsUsable(const endpoint_entry& endpoint) const {
  const endpoint_entry* known = endpoints_->Find(endpoint.id);
  return known != nullptr && !known->is_leaving &&
         !zones_->Contains(known->availability_zone) &&
         known->started_unix_ms == endpoint.started_unix_ms;
}

void slot_link::OnEndpointLeaving(const std::string& id,
                                  std::uint64_t started_unix_ms,
                                  std::string_view source) {
  if (!endpoints_->MarkLeaving(id, started_unix_ms))
    return;
  ++announced_leavings_;
  Log(log_level::kInfo, "endpoint_leaving",
      {{"endpoint", id}, {"source", std::string(source)}});
}

void slot_link::ReturnGrant(const service_shard& shard,
                            const network_address& owner,
                            const request_key& key) {
  ++stale_grants_;
  Log(log_level::kInfo, "grant_refused",
      {{"number", std::to_string(key.number)},
       {"shard", shard.Name()},
       {"owner", owner.ToString()},
       {"reason", "not_held_there"}});
  SendToOwner(owner, MakeMessage(slot_message_type::kCancel, shard, key));
}

void slot_link::OnReject(const slot_rejection& rejection) {
  const auto found = held_.find(rejection.request.number);
  if (found == held_.end() || found->second.is_rejected)
    return;
  found->second.is_rejected = true;
  const slot_client_hooks hooks = found->second.hooks;
  hooks.rejected(rejection);
}

void slot_link::ExcludeOwner(const network_address& owner) {
  ++owner_failures_;
  excluded_until_[owner] = event_loop::Now() + kOwnerExclusionTime;
  Log(log_level::kWarning, "owner_silent",
      {{"owner", owner.ToString()},
       {"members", std::to_string(directory_->members().size())}});
  ReassignRequests();
}

void slot_link::OnOwnerNotReady(const network_address& owner) {
  ++unready_owners_;
  excluded_until_[owner] = event_loop::Now() + kUnreadyOwnerExclusionTime;
  Log(log_level::kInfo, "owner_not_ready", {{"owner", owner.ToString()}});
  ReassignRequests(owner);
}

void slot_link::ReassignRequests(
    const std::optional<network_address>& unready_owner) {
  if (is_stopped_)
    return;
  std::map<service_shard, network_address> owners;
  for (auto& [number, held] : held_) {
    if (held.is_rejected)
      continue;
    const auto known = owners.find(held.shard);
    const network_address owner =
        known != owners.end()
            ? known->second
            : owners.emplace(held.shard, OwnerOf(held.shard)).first->second;
    if (owner == held.owner)
      continue;
    Log(log_level::kInfo, "owner_changed",
        {{"request", held.request.caller_id},
         {"shard", held.shard.Name()},
         {"from", held.owner.ToString()},
         {"to", owner.ToString()}});
    SendToOwner(held.owner, MakeMessage(slot_message_type::kCancel, held.shard,
                                        held.request.key));
    held.request.was_counted |= held.owner != unready_owner;
    held.owner = owner;
    held.unanswered_messages = 0;
    for (const auto& [attempt, endpoint_id] : held.attempts) {
      slot_message adopt =
          MakeMessage(slot_message_type::kAdopt, held.shard, held.request.key);
      adopt.request = held.request;
      adopt.attempt = attempt;
      adopt.endpoint_id = endpoint_id;
      SendToOwner(owner, adopt);
    }
    if (held.attempts.empty())
      Submit(held);
  }
}

void slot_link::RunTimer() {
  timer_->expires_after(kTimerInterval);
  timer_->async_wait([this](const boost::system::error_code& error) {
    if (error || is_stopped_)
      return;
    CheckUnansweredRequests();
    LogShardStates();
    RunTimer();
  });
}

void slot_link::LogShardStates() {
  const monotonic_time now = event_loop::Now();
  if (now - shard_states_logged_at_ < kMinStateLogInterval)
    return;
  shard_states_logged_at_ = now;
  for (const auto& [shard, owned] : owned_) {
    const slot_scheduler::summary sum = owned.scheduler->Summarize(now);
    if (sum.requests == 0)
      continue;
    Log(log_level::kInfo, "shard_state",
        {{"shard", shard.Name()},
         {"requests", std::to_string(sum.requests)},
         {"waiting", std::to_string(sum.waiting)},
         {"in_flight", std::to_string(sum.attempts_in_flight)},
         {"usable", std::to_string(sum.usable_endpoints)},
         {"ejected", std::to_string(sum.ejected_endpoints)},
         {"free", std::to_string(sum.free_endpoints)},
         {"empty", std::to_string(sum.idle_endpoints)},
         {"slow", std::to_string(sum.slow_endpoints)},
         {"stragglers", std::to_string(sum.stragglers)},
         {"slots", std::to_string(sum.slots)},
         {"uncontended_slots", std::to_string(sum.uncontended_slots)},
         {"useful_slots", std::to_string(sum.useful_slots)},
         {"crowding", std::to_string(sum.contention_factor)},
         {"holding_ms",
          std::to_string(std::lround(ToMilliseconds(sum.mean_holding_time)))},
         {"usual_work_ms", FormatByClass(sum.usual_work,
                                         [](time_span usual_time) {
                                           return std::lround(
                                               ToMilliseconds(usual_time));
                                         })},
         {"answer_bytes",
          FormatByClass(sum.answer_bytes,
                        [](std::uint64_t bytes) { return bytes; })}});
  }
}

void slot_link::CheckUnansweredRequests() {
  const monotonic_time now = event_loop::Now();
  std::optional<network_address> unresponsive_owner;
  for (auto& [number, held] : held_) {
    const bool is_awaiting_answer =
        !held.is_rejected && !IsSelf(held.owner) && held.attempts.empty();
    if (!is_awaiting_answer || now < held.resend_at)
      continue;
    if (held.unanswered_messages >= kMaxUnansweredMessages) {
      unresponsive_owner = held.owner;
      break;
    }
    Submit(held);
  }
  if (unresponsive_owner)
    ExcludeOwner(*unresponsive_owner);
}

void slot_link::SendToOwner(const network_address& owner,
                            const slot_message& message) {
  if (is_stopped_)
    return;
  if (IsSelf(owner)) {
    OnOwnerMessage(message);
  } else {
    Send(owner, message);
  }
}

void slot_link::SendToHolder(const slot_message& message) {
  // The address is always valid: keys made by this process contain its own
  // address, and DecodeSlotMessage checks the address of received keys.
  Send(*network_address::Parse(message.request.key.entry_vm), message);
}

void slot_link::Send(const network_address& peer, const slot_message& message) {
  boost::system::error_code error;
  const boost::asio::ip::address host =
      boost::asio::ip::make_address(peer.host, error);
  if (error || !socket_)
    return;
  // All entry VMs use the same port.
  const boost::asio::ip::udp::endpoint to(host, settings_.slot_listen.port);
  const std::string bytes = EncodeSlotMessage(message, event_loop::Now());
  // Errors are ignored: a failed send is handled like a lost datagram.
  socket_->send_to(boost::asio::buffer(bytes), to, 0, error);
}

void slot_link::Receive() {
  socket_->async_receive_from(
      boost::asio::buffer(datagram_), sender_,
      [this](const boost::system::error_code& error, std::size_t size) {
        if (is_stopped_ || error == boost::asio::error::operation_aborted)
          return;
        if (!error) {
          const std::optional<slot_message> message = DecodeSlotMessage(
              std::string_view(datagram_.data(), size), event_loop::Now());
          if (message) {
            OnMessage(*message, sender_.address().to_string());
          } else {
            ++datagrams_refused_;
            Log(log_level::kWarning, "datagram_refused",
                {{"bytes", std::to_string(size)}});
          }
        }
        Receive();
      });
}

void slot_link::OnMessage(const slot_message& message,
                          const std::string& sender_host) {
  switch (message.type) {
    case slot_message_type::kSubmit:
    case slot_message_type::kAdopt:
    case slot_message_type::kReport:
    case slot_message_type::kCancel:
    case slot_message_type::kTransferStart:
      if (IsReadyToOwn())
        OnOwnerMessage(message);
      else
        OnEarlyOwnerMessage(message);
      return;
    case slot_message_type::kQueued:
    case slot_message_type::kGrant:
    case slot_message_type::kReject:
    case slot_message_type::kNotReady:
      OnHolderMessage(message, sender_host);
      return;
  }
}

bool slot_link::IsReadyToOwn() const {
  return endpoints_->is_listed() && state_store_->routes() != nullptr;
}

void slot_link::OnEarlyOwnerMessage(const slot_message& message) {
  // An owner without a complete listing would refuse the request although it
  // can be served, or crowd the few endpoints that it knows.
  if (message.type == slot_message_type::kSubmit ||
      message.type == slot_message_type::kAdopt) {
    SendToHolder(MakeMessage(slot_message_type::kNotReady, message.shard,
                             message.request.key));
  }
  if (message.leaving_endpoint) {
    OnEndpointLeaving(message.leaving_endpoint->id,
                      message.leaving_endpoint->started_unix_ms,
                      message.request.key.entry_vm);
  }
}

void slot_link::OnOwnerMessage(const slot_message& message) {
  const monotonic_time now = event_loop::Now();
  const request_key& key = message.request.key;
  slot_scheduler& scheduler = *EnsureOwned(message.shard).scheduler;
  if (message.type == slot_message_type::kAdopt) {
    scheduler.Adopt(message.request, message.attempt, message.endpoint_id, now);
  } else if (message.type == slot_message_type::kReport) {
    if (message.leaving_endpoint) {
      OnEndpointLeaving(message.leaving_endpoint->id,
                        message.leaving_endpoint->started_unix_ms,
                        key.entry_vm);
    }
    scheduler.Report(key, message.attempt, message.outcome, message.load, now,
                     message.transfer);
  } else if (message.type == slot_message_type::kTransferStart) {
    scheduler.ReportTransferStart(key, message.attempt,
                                  message.transfer.value_or(answer_transfer()),
                                  now);
  } else if (message.type == slot_message_type::kCancel) {
    scheduler.Cancel(key, now);
  } else if (scheduler.IsKnown(key)) {
    // The holder submitted the request again; earlier grants may be lost.
    for (const slot_grant& grant : scheduler.RunningGrants(key))
      SendGrant(message.shard, grant);
  } else {
    scheduler.Submit(message.request, now);
  }
  if (!zones_->zones().empty())
    scheduler.RefuseWithoutEndpoint(now);
  if (message.type == slot_message_type::kSubmit && scheduler.IsKnown(key) &&
      scheduler.RunningGrants(key).empty()) {
    SendToHolder(MakeMessage(slot_message_type::kQueued, message.shard, key));
  }
  Reschedule(message.shard);
}

void slot_link::OnHolderMessage(const slot_message& message,
                                const std::string& sender_host) {
  const auto found = held_.find(message.request.key.number);
  const bool is_from_current_owner =
      found != held_.end() &&
      message.request.key == found->second.request.key &&
      message.shard == found->second.shard &&
      sender_host == found->second.owner.host;
  if (!is_from_current_owner) {
    // A grant from an owner that has been replaced must not start an attempt,
    // because the current owner does not count it. The slot is returned to the
    // sender.
    if (message.type == slot_message_type::kGrant)
      ReturnGrant(message.shard, {sender_host, settings_.slot_listen.port},
                  message.request.key);
    return;
  }
  held_request& held = found->second;
  if (message.type == slot_message_type::kNotReady)
    return OnOwnerNotReady(network_address(held.owner));
  held.unanswered_messages = 0;
  held.resend_at = event_loop::Now() + kQueuedPollInterval;
  if (message.type == slot_message_type::kReject) {
    OnReject({message.request.key, held.request.caller_id, message.reason,
              message.retry_after});
    return;
  }
  if (message.type != slot_message_type::kGrant)
    return;
  const endpoint_entry* listed = endpoints_->Find(message.endpoint_id);
  endpoint_entry endpoint;
  endpoint.id = message.endpoint_id;
  if (listed != nullptr)
    endpoint = *listed;
  OnGrant(message.shard, held.owner,
          {message.request.key, held.request.caller_id, message.attempt,
           endpoint, message.is_hedge});
}

slot_counters slot_link::owned_counters() const {
  slot_counters sum;
  for (const auto& [shard, owned] : owned_) {
    const slot_counters& each = owned.scheduler->counters();
    sum.requests += each.requests;
    sum.grants += each.grants;
    sum.hedges += each.hedges;
    sum.late_hedges += each.late_hedges;
    sum.retries += each.retries;
    sum.probes += each.probes;
    sum.rejections += each.rejections;
    sum.warm_up_deferrals += each.warm_up_deferrals;
    sum.return_retries += each.return_retries;
    sum.withheld_retries += each.withheld_retries;
    sum.home_zone_grants += each.home_zone_grants;
    sum.other_zone_grants += each.other_zone_grants;
  }
  return sum;
}

nlohmann::json slot_link::DumpState() const {
  nlohmann::json shards = nlohmann::json::object();
  const monotonic_time now = event_loop::Now();
  for (const auto& [shard, owned] : owned_)
    shards[shard.Name()] = owned.scheduler->DumpState(now);
  return {{"held_requests", held_.size()},
          {"owner_failures", owner_failures_},
          {"owner_selections", owner_selections_},
          {"unready_owners", unready_owners_},
          {"stale_grants", stale_grants_},
          {"announced_leavings", announced_leavings_},
          {"datagrams_refused", datagrams_refused_},
          {"owned", shards}};
}

}  // namespace papayakeel
