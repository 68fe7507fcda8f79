// Tests of the conditions under which a process may accept calls.
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

// Guards against a new process that serves with an outdated bundle from a stale
// configuration service while other entry VMs, which it has not reached yet,
// have a newer bundle.
TEST(serving_gate, StaysClosedUntilAListedPeerIsReached) {
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

// Guards against a new process that serves with its older bundle between a
// peer's announcement of a newer bundle and the arrival of that bundle.
TEST(serving_gate, StaysClosedUntilAnAnnouncedBundleArrives) {
  serving_gate gate({}, kStart);
  view.has_configuration_answer = true;
  view.other_entry_vms = 2;
  view.peers_heard = 1;
  view.is_newer_announced = true;
  CheckState(gate_state::kNewerBundleAnnounced, gate.Check(view, kStart));
  view.is_newer_announced = false;
  CheckState(gate_state::kOpen, gate.Check(view, kStart + milliseconds(5)));
}

// Guards against a new process that never starts serving because the only entry
// VM with a newer bundle failed after announcing that bundle.
TEST(serving_gate, OpensAfterTheWaitWhenAnAnnouncedBundleNeverArrives) {
  serving_gate gate({}, kStart);
  view.other_entry_vms = 2;
  view.peers_heard = 1;
  view.is_newer_announced = true;
  CheckState(gate_state::kNewerBundleAnnounced,
             gate.Check(view, kStart + seconds(1)));
  CheckState(gate_state::kOpen, gate.Check(view, kStart + seconds(10)));
}

// Guards against serving before the VM list shows whether other entry VMs
// exist.
TEST(serving_gate, StaysClosedWhileTheVmListIsUnread) {
  serving_gate gate({}, kStart);
  view.has_configuration_answer = true;
  CheckState(gate_state::kNoPeerReached, gate.Check(view, kStart));
  view.other_entry_vms = 0;
  CheckState(gate_state::kOpen, gate.Check(view, kStart));
}

TEST(serving_gate, ServesAloneOnlyIfConfiguredAndAfterTheWait) {
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

// Guards against a process that resumes after a long pause and serves with an
// outdated bundle before a peer or the configuration service confirms it.
TEST(serving_gate, ClosesAfterAPauseUntilTheBundleIsConfirmed) {
  serving_gate gate({}, kStart);
  view.peers_heard = 1;
  view.last_confirmation = kStart;
  CheckState(gate_state::kOpen, gate.Check(view, kStart));
  const monotonic_time resumed = kStart + seconds(30);
  CheckState(gate_state::kConfirmationNeeded, gate.Check(view, resumed));
  view.last_confirmation = resumed - milliseconds(1);
  CheckState(gate_state::kConfirmationNeeded,
             gate.Check(view, resumed + milliseconds(10)));
  view.last_confirmation = resumed + milliseconds(20);
  CheckState(gate_state::kOpen, gate.Check(view, resumed + milliseconds(30)));
  LONGS_EQUAL(1, gate.pauses());
}

// Guards against rejecting calls indefinitely when no peer and no configuration
// service can be reached after a pause.
TEST(serving_gate, ReopensAfterTheWaitWhenNoPeerIsReached) {
  serving_gate gate({}, kStart);
  view.peers_heard = 1;
  CheckState(gate_state::kOpen, gate.Check(view, kStart));
  const monotonic_time resumed = kStart + seconds(30);
  for (int second = 0; second < 10; ++second) {
    CheckState(gate_state::kConfirmationNeeded,
               gate.Check(view, resumed + seconds(second)));
  }
  CheckState(gate_state::kOpen, gate.Check(view, resumed + seconds(10)));
}

}  // namespace papayakeel
