// Decides when this process may serve calls under the bundle that it has. A
// new process must not serve an older bundle than its peers, and one that
// wakes after a pause must first learn whether it missed a newer one.
#ifndef SERVERS_BUNDLES_SERVING_GATE_H_
#define SERVERS_BUNDLES_SERVING_GATE_H_

#include <cstddef>
#include <optional>

#include "core/monotonic_time.h"

namespace papayakeel {

enum class gate_state {
  kOpen,
  kNoBundle,            // None has been accepted yet.
  kPeersNotHeard,       // Other entry VMs may have a newer bundle.
  kNewerAnnounced,      // Another entry VM has a newer bundle.
  kConfirmationNeeded,  // Just woken; the bundle may be outdated.
};

// Returns the name of `state` for readiness and logs.
const char* ToString(gate_state state);

// What the process knows when it asks.
struct gate_view {
  bool has_bundle = false;
  // When the configuration service or a peer last confirmed the bundle.
  std::optional<monotonic_time> last_confirmation;
  bool has_configuration_answer = false;
  // Entry VMs besides this one in the VM list; nothing while it is unread.
  std::optional<std::size_t> other_entry_vms;
  std::size_t peers_heard = 0;
  // A peer has announced a newer bundle, which has not arrived.
  bool is_newer_announced = false;
};

struct gate_settings {
  // Serve although no peer could be reached, after `peer_wait`.
  bool serve_alone = false;
  time_span peer_wait = std::chrono::seconds(10);
  // A longer gap between two calls of `Check` means that the process paused.
  time_span pause_limit = std::chrono::seconds(2);
};

class serving_gate {
 public:
  serving_gate(gate_settings settings, monotonic_time started);

  // Call at least four times per `pause_limit`, and before each new call is
  // accepted, so that nothing is served between a wake-up and the first tick.
  gate_state Check(const gate_view& view, monotonic_time now);

  // How often a pause was noticed.
  std::size_t pauses() const { return pauses_; }

 private:
  // Whether a process that has not served yet may begin to.
  gate_state CheckFirst(const gate_view& view, monotonic_time now) const;

  const gate_settings settings_;
  const monotonic_time started_;
  monotonic_time last_check_;
  // Once open, only a pause closes the gate again.
  bool has_opened_ = false;
  std::optional<monotonic_time> woke_at_;  // Until the bundle is confirmed.
  std::size_t pauses_ = 0;
};

}  // namespace papayakeel

#endif  // SERVERS_BUNDLES_SERVING_GATE_H_
