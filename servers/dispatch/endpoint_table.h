// Endpoints of a dispatcher and the selection among them.
#ifndef SERVERS_DISPATCH_ENDPOINT_TABLE_H_
#define SERVERS_DISPATCH_ENDPOINT_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "core/random_source.h"
#include "servers/dispatch/endpoint_record.h"

namespace papayakeel {

// Eligibility of an endpoint for an attempt.
enum class endpoint_verdict {
  kFree,
  kTrial,         // Ejected; the attempt is a trial for re-admission.
  kUnlisted,      // Removed from the list; running attempts continue.
  kLeaving,       // Draining.
  kZoneExcluded,  // Its availability zone has weight 0.
  kEjected,       // Ejected and not due for a trial by this call.
  kNoFreeSlot,
  kSuspected,       // Too slow; waiting for another slot is faster.
  kAlreadyRunning,  // Another attempt of this call runs on it.
};

// Returns the name of `verdict` that is shown to operators.
const char* ToString(endpoint_verdict verdict);

// Attempt for which an endpoint is selected.
struct placement_request {
  // Whether the attempt may be a trial on an ejected endpoint. While another
  // endpoint is usable, only idempotent calls may.
  bool may_run_trial = true;
  bool is_hedge = false;
  std::size_t waiting = 1;  // Queued calls, including this one.
  // Endpoint of the last failed attempt, or 0.
  std::uint64_t last_endpoint = 0;
  std::vector<std::uint64_t> running_on;  // Endpoints that run the call.
  double slowdown_limit = 0;  // From `endpoint_table::SlowdownLimit`.
};

struct placement {
  endpoint_record* endpoint = nullptr;  // Null if the call must wait.
  bool is_trial = false;
  // An endpoint with a free slot was skipped as too slow.
  bool has_slow_free_slot = false;
};

class endpoint_table {
 public:
  void Configure(int slots, std::map<std::string, double> zone_weights);

  void Set(const std::vector<endpoint_info>& endpoints, monotonic_time now);
  // Removes unlisted endpoints without running attempts. An endpoint that
  // signalled draining is kept: it may be listed again by an older list or
  // after a reassignment of endpoints to entry VMs, and must not get new calls
  // then.
  void Prune(monotonic_time now);

  endpoint_record* Find(const network_address& address);
  endpoint_record* FindById(std::uint64_t id);

  // Chooses the endpoint with the lowest cost, or an ejected one that is due
  // for a trial. Computes `slowdown_limit` itself.
  placement Choose(placement_request request,
                   const random_source& random,
                   monotonic_time now);

  // Returns the eligibility of one endpoint, as used by `Choose` before it
  // compares costs.
  endpoint_verdict Assess(const endpoint_record& endpoint,
                          const placement_request& request,
                          monotonic_time now) const;

  // Returns the expected relative service time, increased for occupied slots
  // and divided by the weight of the availability zone.
  double Cost(const endpoint_record& endpoint, monotonic_time now) const;

  // Returns the limit of `ExpectedSlowdown` above which an endpoint gets no
  // call, because waiting for another endpoint is expected to be faster.
  double SlowdownLimit(std::size_t waiting, monotonic_time now) const;

  // Returns true if any endpoint is listed, not leaving and not in an excluded
  // availability zone.
  bool HasUsableEndpoint(monotonic_time now) const;
  // Returns the slots of all usable endpoints that are not ejected. Slots of
  // slow endpoints count in proportion to their expected speed.
  double UsableSlots(monotonic_time now) const;
  bool HasFreeSlot(monotonic_time now) const;
  // Returns true if another endpoint may be ejected. At most half of the usable
  // endpoints may be: if more fail, the cause is probably not the endpoints
  // themselves.
  bool MayEject(monotonic_time now) const;
  bool HasEjectedEndpoint() const;

  int slots() const { return slots_; }
  std::map<network_address, endpoint_record>& records() { return records_; }
  const std::map<network_address, endpoint_record>& records() const {
    return records_;
  }

 private:
  double WeightOf(const endpoint_record& endpoint) const;
  bool IsUsable(const endpoint_record& endpoint, monotonic_time now) const;

  int slots_ = 2;
  std::map<std::string, double> zone_weights_;
  std::map<network_address, endpoint_record> records_;
  std::uint64_t next_id_ = 1;
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_ENDPOINT_TABLE_H_
