// Rules for opening the gate after a start and after a pause.
#include "servers/bundles/serving_gate.h"

namespace papayakeel {

const char* ToString(gate_state state) {
  switch (state) {
    case gate_state::kOpen:
      return "ready";
    case gate_state::kNoBundle:
      return "no bundle in force";
    case gate_state::kPeersNotHeard:
      return "no other entry VM reached";
    case gate_state::kNewerAnnounced:
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
    woke_at_ = now;
  }
  last_check_ = now;
  if (!view.has_bundle)
    return gate_state::kNoBundle;
  if (!has_opened_) {
    const gate_state first = CheckFirst(view, now);
    if (first != gate_state::kOpen)
      return first;
    has_opened_ = true;
    woke_at_.reset();
  }
  if (!woke_at_)
    return gate_state::kOpen;
  const bool is_confirmed =
      view.last_confirmation && *view.last_confirmation >= *woke_at_;
  // A process that reaches nobody serves what it has: refusing for ever would
  // help no caller, and its bundle cannot become newer.
  const bool has_waited = now - *woke_at_ >= settings_.peer_wait;
  if (!is_confirmed && !has_waited)
    return gate_state::kConfirmationNeeded;
  woke_at_.reset();
  return gate_state::kOpen;
}

gate_state serving_gate::CheckFirst(const gate_view& view,
                                    monotonic_time now) const {
  const bool has_waited = now - started_ >= settings_.peer_wait;
  // After the wait the newer bundle cannot be had: its holder may be gone.
  if (view.is_newer_announced && !has_waited)
    return gate_state::kNewerAnnounced;
  const bool is_only_one =
      view.other_entry_vms == std::size_t{0} && view.has_configuration_answer;
  const bool may_serve_alone = settings_.serve_alone && has_waited;
  if (view.peers_heard > 0 || is_only_one || may_serve_alone)
    return gate_state::kOpen;
  return gate_state::kPeersNotHeard;
}

}  // namespace papayakeel
