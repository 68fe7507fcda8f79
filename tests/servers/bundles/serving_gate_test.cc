// Tests of the serving gate.
#include "servers/bundles/serving_gate.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const monotonic_time kStart = monotonic_time() + seconds(100);

void CheckState(gate_state expected, gate_state state) {
  STRCMP_EQUAL(ToString(expected), ToString(state));
}

}  // namespace

TEST_GROUP(serving_gate) {
  gate_view view;

  void setup() override {
    view.has_bundle = true;
  }
};

TEST(serving_gate, IsClosedWithoutABundle) {
  serving_gate gate({}, kStart);
  view.has_bundle = false;
  view.peers_heard = 3;
  CheckState(gate_state::kNoBundle, gate.Check(view, kStart));
}

// Guards against a new process that serves a stale service's bundle while
// other entry VMs, not yet reached, have a newer one.
TEST(serving_gate, StaysClosedUntilAListedPeerIsHeard) {
  serving_gate gate({}, kStart);
  view.has_configuration_answer = true;
  view.other_entry_vms = 2;
  for (int second = 0; second < 60; ++second) {
    CheckState(gate_state::kNoPeerReached,
               gate.Check(view, kStart + seconds(second)));
  }
  view.peers_heard = 1;
  CheckState(gate_state::kOpen, gate.Check(view, kStart + seconds(60)));
}

// Guards against a new process that serves its older bundle in the moment
// between a peer's announcement of a newer one and its arrival.
TEST(serving_gate, StaysClosedWhileAnAnnouncedBundleIsOnItsWay) {
  serving_gate gate({}, kStart);
  view.has_configuration_answer = true;
  view.other_entry_vms = 2;
  view.peers_heard = 1;
  view.is_newer_announced = true;
  CheckState(gate_state::kNewerBundleAnnounced, gate.Check(view, kStart));
  view.is_newer_announced = false;
  CheckState(gate_state::kOpen, gate.Check(view, kStart + milliseconds(5)));
}

// Guards against a process that never opens because the only holder of a newer
// bundle was lost after it had announced it.
TEST(serving_gate, OpensAfterTheWaitWhenAnAnnouncedBundleNeverArrives) {
  serving_gate gate({}, kStart);
  view.other_entry_vms = 2;
  view.peers_heard = 1;
  view.is_newer_announced = true;
  CheckState(gate_state::kNewerBundleAnnounced,
             gate.Check(view, kStart + seconds(1)));
  CheckState(gate_state::kOpen, gate.Check(view, kStart + seconds(10)));
}

// Guards against opening before it is known whether there are others.
TEST(serving_gate, StaysClosedWhileTheVmListIsUnread) {
  serving_gate gate({}, kStart);
  view.has_configuration_answer = true;
  CheckState(gate_state::kNoPeerReached, gate.Check(view, kStart));
  view.other_entry_vms = 0;
  CheckState(gate_state::kOpen, gate.Check(view, kStart));
}

TEST(serving_gate, ServesAloneOnlyWhenToldToAndAfterTheWait) {
  gate_settings settings;
  settings.serve_alone = true;
  serving_gate gate(settings, kStart);
  view.other_entry_vms = 2;
  for (int second = 0; second < 10; ++second) {
    CheckState(gate_state::kNoPeerReached,
               gate.Check(view, kStart + seconds(second)));
  }
  CheckState(gate_state::kOpen, gate.Check(view, kStart + seconds(10)));
}

// Guards against a process that wakes late and serves an outdated bundle
// before it has asked anybody.
TEST(serving_gate, ClosesAfterAPauseUntilTheBundleIsConfirmed) {
  serving_gate gate({}, kStart);
  view.peers_heard = 1;
  view.last_confirmation = kStart;
  CheckState(gate_state::kOpen, gate.Check(view, kStart));
  const monotonic_time woken = kStart + seconds(30);
  CheckState(gate_state::kConfirmationNeeded, gate.Check(view, woken));
  view.last_confirmation = woken - milliseconds(1);
  CheckState(gate_state::kConfirmationNeeded,
             gate.Check(view, woken + milliseconds(10)));
  view.last_confirmation = woken + milliseconds(20);
  CheckState(gate_state::kOpen, gate.Check(view, woken + milliseconds(30)));
  LONGS_EQUAL(1, gate.pauses());
}

// Guards against refusing for ever when nobody can be reached after a pause.
TEST(serving_gate, OpensAgainAfterTheWaitWhenNobodyIsReached) {
  serving_gate gate({}, kStart);
  view.peers_heard = 1;
  CheckState(gate_state::kOpen, gate.Check(view, kStart));
  const monotonic_time woken = kStart + seconds(30);
  for (int second = 0; second < 10; ++second) {
    CheckState(gate_state::kConfirmationNeeded,
               gate.Check(view, woken + seconds(second)));
  }
  CheckState(gate_state::kOpen, gate.Check(view, woken + seconds(10)));
}

}  // namespace papayakeel
