// Decides whether this process may accept calls with its current bundle. A new
// process must not serve with an older bundle than its peers. A process that
// resumes after a pause must first check whether a newer bundle was published.
#ifndef SERVERS_BUNDLES_SERVING_GATE_H_
#define SERVERS_BUNDLES_SERVING_GATE_H_

#include <cstddef>
#include <optional>

#include "core/monotonic_time.h"

namespace papayakeel {

enum class gate_state {
  kOpen,
  kNoBundle,              // No bundle has been accepted yet.
  kNoPeerReached,         // Other entry VMs may have a newer bundle.
  kNewerBundleAnnounced,  // Another entry VM has a newer bundle.
  kConfirmationNeeded,    // Resumed after a pause; the bundle may be outdated.
};

// Returns the name of `state` for readiness and logs.
const char* ToString(gate_state state);

// Input of `serving_gate::Check`: the current state of the process.
struct gate_view {
  bool has_bundle = false;
  // When the configuration service or a peer last confirmed the bundle.
  std::optional<monotonic_time> last_confirmation;
  bool has_configuration_answer = false;
  // Number of other entry VMs in the VM list; empty until the list is read.
  std::optional<std::size_t> other_entry_vms;
  std::size_t peers_heard = 0;
  // True while a newer bundle that a peer announced has not arrived.
  bool is_newer_announced = false;
};

struct gate_settings {
  // Whether to serve after `peer_wait` when no peer was reached.
  bool serve_alone = false;
  time_span peer_wait = std::chrono::seconds(10);
  // A longer interval between two calls of `Check` counts as a pause of the
  // process.
  time_span pause_limit = std::chrono::seconds(2);
};

class serving_gate {
 public:
  serving_gate(gate_settings settings, monotonic_time started);

  // Returns whether calls may be accepted. Must be called at least four times
  // per `pause_limit`, and also before each call is accepted; otherwise calls
  // could be served between the end of a pause and the next periodic check.
  gate_state Check(const gate_view& view, monotonic_time now);

  // Number of detected pauses.
  std::size_t pauses() const { return pauses_; }

 private:
  // Returns whether a process that has not served yet may start serving.
  gate_state CheckFirstOpening(const gate_view& view, monotonic_time now) const;

  const gate_settings settings_;
  const monotonic_time started_;
  monotonic_time last_check_;
  // Once the gate has opened, only a pause closes it again.
  bool has_opened_ = false;
  // Time at which the end of a pause was detected; empty once the gate opens.
  std::optional<monotonic_time> resumed_at_;
  std::size_t pauses_ = 0;
};

}  // namespace papayakeel

#endif  // SERVERS_BUNDLES_SERVING_GATE_H_
