// Drives the gossip protocol and exchanges bundles and findings with peers.
#include "modules/peer_link/peer_link.h"

#include <algorithm>
#include <string>

#include "drivers/event_loop.h"
#include "drivers/logging.h"
#include "modules/peer_link/peer_handshake.h"
#include "servers/bundles/bundle_service.h"
#include "servers/membership/entry_directory.h"
#include "servers/membership/peer_message_codec.h"

namespace papayakeel {

namespace {

constexpr std::chrono::milliseconds kTimerInterval{100};
// A finding is about 250 bytes. This rate limits findings to 1.3 KB/s of the
// 3 KB/s control traffic budget. The burst covers two findings broadcast to a
// fleet of 15.
constexpr double kFindingsPerSecond = 5;
constexpr double kFindingBurst = 30;
constexpr std::chrono::seconds kMaxFindingAccrualGap{3600};

}  // namespace

peer_link::peer_link(service_registry& registry,
                     process_settings settings,
                     random_source random)
    : registry_(registry),
      settings_(std::move(settings)),
      random_(std::move(random)),
      finding_budget_(kFindingsPerSecond,
                      kFindingBurst,
                      kMaxFindingAccrualGap) {}

peer_link::~peer_link() = default;

void peer_link::Start() {
  event_loop* loop = registry_.Find<event_loop>(event_loop::kName);
  directory_ = registry_.Find<entry_directory>(entry_directory::kName);
  bundles_ = registry_.Find<bundle_service>(bundle_service::kName);
  if (settings_.peer_listen.host.empty())
    return;
  const std::optional<session_key> fleet_key =
      ParseFleetKey(settings_.fleet_key);
  if (!fleet_key) {
    configuration_error_ = peer_listen_error::kBadFleetKey;
    return;
  }
  peer_transport_settings transport_settings;
  transport_settings.listen = settings_.peer_listen;
  transport_settings.own_address = directory_->self().peer_address;
  transport_settings.fleet_key = *fleet_key;
  transport_ = std::make_unique<peer_transport>(
      loop->context(), transport_settings,
      [this](const peer_message& message) { OnMessage(message); });
  gossip_hooks hooks;
  hooks.send = [this](const network_address& to, const peer_message& message) {
    transport_->Send(to, message);
  };
  hooks.members_changed = [this] { PublishMembers(); };
  hooks.no_answer = [this](const network_address& address) {
    transport_->CloseUnresponsive(address);
  };
  protocol_ = std::make_unique<gossip_protocol>(
      directory_->self(), gossip_settings{}, random_, hooks);
  directory_->Subscribe([this] { OnDirectoryChange(); });
  bundles_->Subscribe([this](const bundle_pointer&) {
    const bundle_pair own = LocalBundlePair();
    directory_->UpdateSelf([&own](member& self) {
      std::tie(self.bundle_version, self.bundle_hash) = own;
    });
  });
  timer_.emplace(loop->context());
  OnDirectoryChange();
}

tl::expected<void, peer_listen_error> peer_link::Listen() {
  if (configuration_error_)
    return tl::unexpected(*configuration_error_);
  if (!transport_)
    return {};
  const tl::expected<void, peer_listen_error> listening = transport_->Listen();
  if (!listening)
    return listening;
  last_timer_ = event_loop::Now();
  OnTimer();
  return {};
}

void peer_link::Stop() {
  is_stopped_ = true;
  // The timer and the transport use the event loop, which may be destroyed
  // before this service.
  timer_.reset();
  if (transport_)
    transport_->Stop();
}

void peer_link::RunTimer() {
  timer_->expires_after(kTimerInterval);
  timer_->async_wait([this](const boost::system::error_code& error) {
    if (!error && !is_stopped_)
      OnTimer();
  });
}

void peer_link::OnTimer() {
  const monotonic_time now = event_loop::Now();
  if (now - last_timer_ > gossip_settings{}.pause_limit) {
    Log(log_level::kWarning, "paused",
        {{"ms", std::to_string(ToMilliseconds(now - last_timer_))}});
    transport_->ResetTimeouts();
  }
  last_timer_ = now;
  protocol_->Tick(now);
  transport_->Tick(now);
  RunTimer();
}

void peer_link::OnMessage(const peer_message& message) {
  if (is_stopped_)
    return;
  const monotonic_time now = event_loop::Now();
  protocol_->Receive(message, now);
  OnAnnouncedBundle(message.sender, now);
  if (message.type == peer_message_type::kBundleRequest) {
    if (bundles_->published().empty() ||
        bundles_->published().size() > kMaxPublishedBytes) {
      return;
    }
    ++counters_.bundles_served;
    peer_message response = protocol_->MakeMessage(peer_message_type::kBundle);
    response.published = bundles_->published();
    transport_->Send(message.sender.peer_address, response);
  } else if (message.type == peer_message_type::kBundle) {
    OnBundle(message, now);
  } else if (message.type == peer_message_type::kFinding) {
    ++counters_.findings_received;
    for (const auto& listener : finding_listeners_)
      listener(message.finding);
  }
}

void peer_link::OnAnnouncedBundle(const member& sender, monotonic_time now) {
  const bundle_pair offered{sender.bundle_version, sender.bundle_hash};
  if (!exchange_.OnPeerBundlePair(offered, LocalBundlePair(), now))
    return;
  ++counters_.bundles_requested;
  transport_->Send(sender.peer_address,
                   protocol_->MakeMessage(peer_message_type::kBundleRequest));
}

void peer_link::OnBundle(const peer_message& message, monotonic_time now) {
  exchange_.OnBundle();
  const tl::expected<bool, bundle_error> offered =
      bundles_->Offer(message.published);
  if (offered) {
    counters_.bundles_accepted += *offered ? 1 : 0;
    return;
  }
  ++counters_.bundles_refused;
  Log(log_level::kError, "bundle_refused",
      {{"source", message.sender.peer_address.ToString()},
       {"code", ToString(offered.error().code)},
       {"detail", offered.error().detail}});
  exchange_.OnRefused(
      {message.sender.bundle_version, message.sender.bundle_hash}, now);
}

void peer_link::OnDirectoryChange() {
  if (is_updating_directory_ || is_stopped_)
    return;
  std::vector<network_address> contacts = settings_.peer_seeds;
  for (const vm_record& vm : directory_->vms()) {
    if (vm.role == vm_role::kEntry && !vm.peer_address.host.empty())
      contacts.push_back(vm.peer_address);
  }
  protocol_->SetContacts(std::move(contacts));
  member self = directory_->self();
  if (directory_->IsListedAsLeaving(self))
    self.state = member_state::kLeaving;
  protocol_->UpdateSelf(self, event_loop::Now());
}

void peer_link::SetSeeds(std::vector<network_address> seeds) {
  settings_.peer_seeds = std::move(seeds);
  if (protocol_)
    OnDirectoryChange();
}

void peer_link::PublishMembers() {
  is_updating_directory_ = true;
  // Refuting a suspicion increments the counter of the local member. Copies the
  // new value to the directory.
  const std::uint64_t counter = protocol_->self().counter;
  if (directory_->self().counter != counter) {
    directory_->UpdateSelf([counter](member& self) { self.counter = counter; });
  }
  directory_->SetMembers(protocol_->table().Live());
  is_updating_directory_ = false;
  // Other directory listeners may have changed the local member during the
  // call, and OnDirectoryChange() ignores changes until the call returns.
  OnDirectoryChange();
}

std::size_t peer_link::BroadcastFinding(const endpoint_finding& finding) {
  if (!protocol_ || is_stopped_)
    return 0;
  std::vector<member> live = protocol_->table().Live();
  std::size_t sent = 0;
  while (!live.empty()) {
    std::swap(live[random_() % live.size()], live.back());
    const member receiver = std::move(live.back());
    live.pop_back();
    if (!finding_budget_.TryTake(1, event_loop::Now())) {
      counters_.findings_limited += live.size() + 1;
      break;
    }
    peer_message message = protocol_->MakeMessage(peer_message_type::kFinding);
    message.finding = finding;
    transport_->Send(receiver.peer_address, message);
    ++sent;
  }
  counters_.findings_sent += sent;
  return sent;
}

void peer_link::SubscribeFindings(
    std::function<void(const endpoint_finding&)> listener) {
  finding_listeners_.push_back(std::move(listener));
}

std::size_t peer_link::peers_heard() const {
  return protocol_ ? protocol_->table().contacted_size() : 0;
}

bool peer_link::IsNewerBundleAnnounced() const {
  return exchange_.HasNewerOffer(LocalBundlePair(), event_loop::Now());
}

const peer_transport_counters& peer_link::transport_counters() const {
  static const peer_transport_counters kNone;
  return transport_ ? transport_->counters() : kNone;
}

const gossip_counters& peer_link::protocol_counters() const {
  static const gossip_counters kNone;
  return protocol_ ? protocol_->counters() : kNone;
}

bundle_pair peer_link::LocalBundlePair() const {
  if (!bundles_->current())
    return {0, 0};
  return {bundles_->current()->version, bundles_->content_hash()};
}

nlohmann::json peer_link::DumpState() const {
  if (!protocol_)
    return {{"enabled", false}};
  const peer_transport_counters& transport = transport_->counters();
  const gossip_counters& gossip = protocol_->counters();
  nlohmann::json state = {
      {"enabled", true},
      {"connections", transport_->size()},
      {"peers_heard", peers_heard()},
      {"members_known", protocol_->table().size()},
      {"messages_sent", transport.messages_sent},
      {"messages_received", transport.messages_received},
      {"bytes_sent", transport.bytes_sent},
      {"bytes_received", transport.bytes_received},
      {"connections_opened", transport.connections_opened},
      {"connections_authenticated", transport.connections_authenticated},
      {"connections_failed", transport.connections_failed},
      {"connections_refused", transport.connections_refused},
      {"connections_silent", transport.connections_silent},
      {"handshakes_refused", transport.handshakes_refused},
      {"seals_refused", transport.seals_refused},
      {"messages_refused", transport.messages_refused},
      {"unknown_refused", transport.unknown_refused},
      {"sends_dropped", transport.sends_dropped},
      {"probes", gossip.probes},
      {"indirect_probes", gossip.indirect_probes},
      {"failed_probes", gossip.failed_probes},
      {"suspicions", gossip.suspicions},
      {"deaths", gossip.deaths},
      {"refutations", gossip.refutations},
      {"pauses", gossip.pauses},
      {"table_exchanges", gossip.table_exchanges},
      {"bundles_requested", counters_.bundles_requested},
      {"bundles_served", counters_.bundles_served},
      {"bundles_accepted", counters_.bundles_accepted},
      {"bundles_refused", counters_.bundles_refused},
      {"findings_sent", counters_.findings_sent},
      {"findings_limited", counters_.findings_limited},
      {"findings_received", counters_.findings_received}};
  if (last_bundle_confirmation()) {
    state["bundle_confirmation_age_ms"] =
        ToMilliseconds(event_loop::Now() - *last_bundle_confirmation());
  }
  return state;
}

void RegisterPeerLinkModule(service_registry& registry,
                            const process_settings& settings,
                            random_source random) {
  registry.Register(
      std::make_unique<peer_link>(registry, settings, std::move(random)));
}

}  // namespace papayakeel
