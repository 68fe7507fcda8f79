// Decides when a request leaves its availability zone. Requests stay in the
// zone of the VM that holds them while they meet their goal there. Overflow
// goes only to zones with capacity that their own callers do not need. Has no
// sockets, clocks or threads.
#ifndef SERVERS_SCHEDULING_ZONE_OVERFLOW_H_
#define SERVERS_SCHEDULING_ZONE_OVERFLOW_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/decaying_count.h"
#include "core/monotonic_time.h"

namespace papayakeel {

// Why a request is placed where it is.
enum class zone_reason {
  kHome,        // It stays in its zone.
  kNoEndpoint,  // No endpoint of its zone may take it.
  kGoal,        // It meets its goal only in another zone.
  kLate,        // It misses its goal, and ends earlier in another zone.
};

// Returns the name of `reason` that logs use.
const char* ToString(zone_reason reason);

// The endpoints and waiting requests of one zone.
struct zone_state {
  int endpoints = 0;   // Endpoints that satisfy the constraints, free or not.
  int slots = 0;       // Of these endpoints.
  int free_slots = 0;  // Slots that are free now.
  int running = 0;     // Attempts that run on these endpoints.
  int waiting = 0;     // Requests from this zone that wait.
};

// One request and what it can expect at home and elsewhere.
struct zone_prospect {
  std::string home;  // Zone of the holder.
  // Hedge or retry: it leaves its zone only if no endpoint there may take it.
  bool is_repeat = false;
  // An endpoint of the home zone that has not been tried may take the request,
  // now or when a slot becomes free.
  bool has_home_endpoint = true;
  bool has_free_home_endpoint = true;
  time_span home_wait{0};   // Until work can start at home.
  time_span home_work{0};   // Time of the work at home, from its start.
  time_span other_work{0};  // The same elsewhere, including the path.
  time_span path{0};        // Cost of crossing that is part of `other_work`.
  time_span goal_left{0};   // Until the goal, negative when it is missed.
  // Until the latest start that leaves a margin for the goal.
  time_span slack{0};
};

class zone_overflow {
 public:
  // Returns the cost of sending a request to another zone: the round trip and
  // the transfer of both bodies. `link_bytes_per_second` is the speed of the
  // holder's link, 0 when unknown.
  static time_span PathCost(std::size_t request_bytes,
                            std::size_t answer_bytes,
                            double link_bytes_per_second);

  void CountArrival(const std::string& home, monotonic_time now);
  // Count the attempts that run outside of the zone of their request.
  void CountStart(const std::string& home, const std::string& zone);
  void CountEnd(const std::string& home, const std::string& zone);

  // Replaces the states of the zones. `holding_time` is the mean time that a
  // request occupies a slot.
  void SetStates(std::map<std::string, zone_state> states,
                 time_span holding_time,
                 monotonic_time now);
  // Updates the state after a grant for a request from `home`.
  void TakeSlot(const std::string& home, const std::string& zone);
  // Whether there is only one zone, so that nothing is decided.
  bool IsSingleZone() const { return states_.size() < 2; }
  const std::map<std::string, zone_state>& states() const { return states_; }

  // Expected time until a request of `home` gets a slot there while `ahead`
  // requests of that zone wait before it.
  time_span HomeWait(const std::string& home, int ahead) const;
  // Slots of `zone` that its own callers are not expected to need: of those
  // that are free now, and of all slots during the next work time.
  double FreeSpareSlots(const std::string& zone) const;
  double LaterSpareSlots(const std::string& zone, monotonic_time now) const;
  // Returns the zones that take requests of `home`. A zone without an endpoint
  // (`is_forced`) uses the zones with the most spare slots, also when these are
  // needed there.
  std::set<std::string> Receivers(const std::string& home,
                                  bool is_forced,
                                  monotonic_time now) const;
  // Returns kHome if the request must stay in its zone for now. A result other
  // than kHome permits the zones of `Receivers`.
  zone_reason Decide(const zone_prospect& prospect, monotonic_time now);
  // Takes a crossing from the share of `home`.
  void CountCrossing(const std::string& home);

 private:
  // Time constant of the moving average of arrivals.
  static constexpr time_span kRateTimeConstant = std::chrono::seconds(1);

  struct zone_flow {
    decaying_count arrivals{kRateTimeConstant};
    std::optional<monotonic_time> first_arrival;
    // Attempts of this zone that run elsewhere, by zone, and the number of
    // attempts of other zones that run here.
    std::map<std::string, int> sent;
    int received = 0;
    // Share of the arrivals that may leave, and the crossings that it allows
    // now.
    double share = 0;
    double allowance = 0;
    std::optional<monotonic_time> denied_at;  // Last refusal for the share.
  };

  double ArrivalRate(const std::string& zone, monotonic_time now) const;
  // Number of slots that the arrivals of `zone` are expected to use.
  double ExpectedUse(const std::string& zone, monotonic_time now) const;
  // The same as a share of the slots of `zone`.
  double Use(const std::string& zone, monotonic_time now) const;
  // Whether attempts of `home` run in `zone`.
  bool IsSending(const std::string& home, const std::string& zone) const;
  // Share of the slack that a request of `home` waits for its own zone.
  double WaitShare(const std::string& home, monotonic_time now) const;
  void UpdateShares(monotonic_time now);
  // Whether the share of `home` permits another crossing.
  bool HasShareLeft(const std::string& home, monotonic_time now);

  std::map<std::string, zone_state> states_;
  std::map<std::string, zone_flow> flows_;
  time_span holding_time_{0};
  monotonic_time share_updated_at_;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_ZONE_OVERFLOW_H_
