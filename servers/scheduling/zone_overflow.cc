// Spare capacity of zones, damping of overflow and the decision for a request.
#include "servers/scheduling/zone_overflow.h"

#include <algorithm>
#include <utility>

namespace papayakeel {

namespace {

// Round trip between zones until it is measured; both deployments state a
// one-way delay of 1.4 ms.
constexpr time_span kZoneRoundTrip = std::chrono::milliseconds(3);

// A new owner does not know the arrivals of the zones. It keeps requests at
// home until it has seen this much traffic.
constexpr time_span kLearningTime = std::chrono::seconds(1);

// A request waits for its own zone while the expected wait is at most a share
// of its slack: this share while the zone needs few of its slots, and none from
// kBusyUse on. Requests that wait at home leave slots elsewhere unused. In calm
// that costs callers nothing; when slots are scarce it costs them their goal.
constexpr double kIdleWaitShare = 0.9;
// Shares of the slots that the arrivals of a zone need. Both deployments plan
// for 0.2, which is 0.3 with the time in slow phases.
constexpr double kIdleUse = 0.35;
constexpr double kBusyUse = 0.5;

// Share of the arrivals that may always leave, growth per second while more is
// needed and decline per second otherwise.
constexpr double kMinShare = 0.5;
constexpr double kShareGrowth = 1.0;
constexpr double kShareDecline = 0.1;
// The share grows while a request was refused for it this recently.
constexpr time_span kDenialMemory = std::chrono::milliseconds(100);
// Crossings that a zone may have saved up: a number, and arrivals of this time.
constexpr double kMinBurst = 4;
constexpr double kBurstSeconds = 0.1;

}  // namespace

const char* ToString(zone_reason reason) {
  switch (reason) {
    case zone_reason::kHome:
      return "home";
    case zone_reason::kNoEndpoint:
      return "no_endpoint";
    case zone_reason::kGoal:
      return "goal";
    case zone_reason::kLate:
      return "late";
  }
  return "unknown";
}

time_span zone_overflow::PathCost(std::size_t request_bytes,
                                  std::size_t answer_bytes,
                                  double link_bytes_per_second) {
  if (link_bytes_per_second <= 0)
    return kZoneRoundTrip;
  const double bytes = static_cast<double>(request_bytes + answer_bytes);
  return kZoneRoundTrip +
         FromMilliseconds(bytes * 1000 / link_bytes_per_second);
}

void zone_overflow::CountArrival(const std::string& home, monotonic_time now) {
  zone_flow& flow = flows_[home];
  flow.arrivals.Add(now);
  if (!flow.first_arrival)
    flow.first_arrival = now;
}

double zone_overflow::ArrivalRate(const std::string& zone,
                                  monotonic_time now) const {
  const auto found = flows_.find(zone);
  return found == flows_.end() ? 0 : found->second.arrivals.Rate(now);
}

void zone_overflow::CountStart(const std::string& home,
                               const std::string& zone) {
  if (home == zone)
    return;
  ++flows_[home].sent[zone];
  ++flows_[zone].received;
}

void zone_overflow::CountEnd(const std::string& home, const std::string& zone) {
  if (home == zone)
    return;
  --flows_[home].sent[zone];
  --flows_[zone].received;
}

void zone_overflow::SetStates(std::map<std::string, zone_state> states,
                              time_span holding_time,
                              monotonic_time now) {
  states_ = std::move(states);
  holding_time_ = holding_time;
  UpdateShares(now);
}

void zone_overflow::TakeSlot(const std::string& home, const std::string& zone) {
  const auto taken = states_.find(zone);
  if (taken != states_.end())
    --taken->second.free_slots;
  const auto left = states_.find(home);
  if (left != states_.end())
    --left->second.waiting;
}

double zone_overflow::ExpectedUse(const std::string& zone,
                                  monotonic_time now) const {
  return ArrivalRate(zone, now) * ToMilliseconds(holding_time_) / 1000;
}

double zone_overflow::FreeSpareSlots(const std::string& zone) const {
  const auto found = states_.find(zone);
  return found == states_.end()
             ? 0
             : found->second.free_slots - found->second.waiting;
}

double zone_overflow::LaterSpareSlots(const std::string& zone,
                                      monotonic_time now) const {
  const auto found = states_.find(zone);
  if (found == states_.end())
    return 0;
  // While the arrivals of the next work time come, the slots that are busy now
  // become free.
  return found->second.slots - found->second.waiting - ExpectedUse(zone, now);
}

bool zone_overflow::IsSending(const std::string& home,
                              const std::string& zone) const {
  const auto flow = flows_.find(home);
  if (flow == flows_.end())
    return false;
  const auto sent = flow->second.sent.find(zone);
  return sent != flow->second.sent.end() && sent->second > 0;
}

double zone_overflow::WaitShare(const std::string& home,
                                monotonic_time now) const {
  const double busy = (Use(home, now) - kIdleUse) / (kBusyUse - kIdleUse);
  return kIdleWaitShare * std::clamp(1 - busy, 0.0, 1.0);
}

double zone_overflow::Use(const std::string& zone, monotonic_time now) const {
  const auto found = states_.find(zone);
  const int slots = found == states_.end() ? 0 : found->second.slots;
  return ExpectedUse(zone, now) / std::max(slots, 1);
}

time_span zone_overflow::HomeWait(const std::string& home, int ahead) const {
  const auto found = states_.find(home);
  const int running = found == states_.end() ? 0 : found->second.running;
  return holding_time_ * (ahead + 1) / std::max(running, 1);
}

std::set<std::string> zone_overflow::Receivers(const std::string& home,
                                               bool is_forced,
                                               monotonic_time now) const {
  std::set<std::string> receivers;
  double most = 0;
  for (const auto& [zone, state] : states_) {
    if (zone != home && state.endpoints > 0)
      most = std::max(most, FreeSpareSlots(zone));
  }
  for (const auto& [zone, state] : states_) {
    if (zone == home || state.endpoints == 0)
      continue;
    const double free = FreeSpareSlots(zone);
    // With little spare anywhere, any zone may take a request that has no
    // endpoint at home.
    // Two zones exchange load only while requests of a busy zone would
    // otherwise be late; this preserves the pooled capacity of small services.
    const bool is_exchange = IsSending(zone, home) && Use(home, now) < kBusyUse;
    const bool has_spare = free >= 1 && LaterSpareSlots(zone, now) > 0;
    const bool receives =
        is_forced ? most < 1 || free >= most / 2 : has_spare && !is_exchange;
    if (receives)
      receivers.insert(zone);
  }
  return receivers;
}

zone_reason zone_overflow::Decide(const zone_prospect& prospect,
                                  monotonic_time now) {
  if (!prospect.has_home_endpoint)
    return zone_reason::kNoEndpoint;
  if (prospect.is_repeat) {
    return prospect.has_free_home_endpoint ? zone_reason::kHome
                                           : zone_reason::kNoEndpoint;
  }
  const zone_flow& flow = flows_[prospect.home];
  const bool is_learning =
      !flow.first_arrival || now - *flow.first_arrival < kLearningTime;
  if (is_learning)
    return zone_reason::kHome;
  const time_span home_end = prospect.home_wait + prospect.home_work;
  const bool meets_goal = home_end <= prospect.goal_left;
  // A zone that receives overflow sends none unless it is busy or the request
  // would be late.
  const bool is_receiving =
      flow.received > 0 && Use(prospect.home, now) < kBusyUse;
  const time_span longest_wait =
      FromMilliseconds(ToMilliseconds(prospect.slack) *
                       (is_receiving ? 1 : WaitShare(prospect.home, now)));
  if (meets_goal && (prospect.home_wait == time_span(0) ||
                     prospect.home_wait <= longest_wait))
    return zone_reason::kHome;
  zone_reason reason = zone_reason::kHome;
  if (prospect.other_work <= prospect.goal_left) {
    reason = zone_reason::kGoal;
  } else if (home_end - prospect.other_work > prospect.path) {
    reason = zone_reason::kLate;
  }
  if (reason != zone_reason::kHome && !HasShareLeft(prospect.home, now))
    return zone_reason::kHome;
  return reason;
}

bool zone_overflow::HasShareLeft(const std::string& home, monotonic_time now) {
  zone_flow& flow = flows_[home];
  if (flow.allowance >= 1)
    return true;
  flow.denied_at = now;
  return false;
}

void zone_overflow::CountCrossing(const std::string& home) {
  flows_[home].allowance -= 1;
}

void zone_overflow::UpdateShares(monotonic_time now) {
  const double elapsed =
      std::min(ToMilliseconds(now - share_updated_at_) / 1000, 1.0);
  share_updated_at_ = now;
  for (auto& [zone, flow] : flows_) {
    const bool is_short =
        flow.denied_at && now - *flow.denied_at <= kDenialMemory;
    flow.share += elapsed * (is_short ? kShareGrowth : -kShareDecline);
    flow.share = std::clamp(flow.share, kMinShare, 1.0);
    const double rate = flow.arrivals.Rate(now);
    flow.allowance = std::min(flow.allowance + elapsed * flow.share * rate,
                              kMinBurst + kBurstSeconds * rate);
  }
}

}  // namespace papayakeel
