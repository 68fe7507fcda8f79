// Conditions for accepting calls after a start and after a pause.
#include "servers/bundles/serving_gate.h"

namespace papayakeel {

const char* ToString(gate_state state) {
  switch (state) {
    case gate_state::kOpen:
      return "ready";
    case gate_state::kNoBundle:
      return "no bundle in force";
    case gate_state::kNoPeerReached:
      return "no other entry VM reached";
    case gate_state::kNewerBundleAnnounced:
      return "newer bundle announced by another entry VM";
    case gate_state::kConfirmationNeeded:
      return "bundle not confirmed since a pause";
  }
  return "unknown";
}

serving_gate::serving_gate(gate_settings settings, monotonic_time started)
    : settings_(settings), started_(started), last_check_(started) {}

gate_state serving_gate::Check(const gate_view& view, monotonic_time now) {
  if (now - last_check_ > settings_.pause_limit) {
    ++pauses_;
    resumed_at_ = now;
  }
  last_check_ = now;
  if (!view.has_bundle)
    return gate_state::kNoBundle;
  if (!has_opened_) {
    const gate_state first = CheckFirstOpening(view, now);
    if (first != gate_state::kOpen)
      return first;
    has_opened_ = true;
    resumed_at_.reset();
  }
  if (!resumed_at_)
    return gate_state::kOpen;
  const bool is_confirmed =
      view.last_confirmation && *view.last_confirmation >= *resumed_at_;
  // If no peer and no configuration service confirms the bundle within
  // `peer_wait`, the process serves with its current bundle. It cannot obtain a
  // newer one, and rejecting calls indefinitely would not help callers.
  const bool has_peer_wait_elapsed = now - *resumed_at_ >= settings_.peer_wait;
  if (!is_confirmed && !has_peer_wait_elapsed)
    return gate_state::kConfirmationNeeded;
  resumed_at_.reset();
  return gate_state::kOpen;
}

gate_state serving_gate::CheckFirstOpening(const gate_view& view,
                                           monotonic_time now) const {
  const bool has_peer_wait_elapsed = now - started_ >= settings_.peer_wait;
  // After `peer_wait`, the announced bundle is assumed to be unavailable: the
  // entry VM that announced it may have failed.
  if (view.is_newer_announced && !has_peer_wait_elapsed)
    return gate_state::kNewerBundleAnnounced;
  const bool is_only_entry_vm =
      view.other_entry_vms == std::size_t{0} && view.has_configuration_answer;
  const bool may_serve_alone = settings_.serve_alone && has_peer_wait_elapsed;
  if (view.peers_heard > 0 || is_only_entry_vm || may_serve_alone)
    return gate_state::kOpen;
  return gate_state::kNoPeerReached;
}

}  // namespace papayakeel
