// Tests of the classification of late and silent peers.
#include "drivers/transmit_judge.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReportInterval{200};

tcp_state State(std::uint32_t unsent,
                std::uint32_t unacknowledged,
                std::uint32_t probes,
                time_span silence = time_span::zero()) {
  tcp_state state;
  state.unsent_bytes = unsent;
  state.unacknowledged_segments = unacknowledged;
  state.unanswered_probes = probes;
  state.since_last_acknowledgement = silence;
  return state;
}

void CheckVerdict(transmit_verdict expected, transmit_verdict actual) {
  LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(actual));
}

// Judges reports on a closed window with an unanswered probe at each interval
// while the silence lasts.
transmit_verdict JudgeSilence(transmit_judge& judge,
                              time_span from,
                              time_span until) {
  transmit_verdict verdict = transmit_verdict::kWindowClosed;
  for (time_span silence = from; silence <= until; silence += kReportInterval)
    verdict = judge.Judge(State(500, 0, 1, silence));
  return verdict;
}

}  // namespace

TEST_GROUP(transmit_judge){};

TEST(transmit_judge, ClassifiesOneReport) {
  transmit_judge judge;
  CheckVerdict(transmit_verdict::kSent, judge.Judge(State(0, 0, 0)));
  CheckVerdict(transmit_verdict::kSent, judge.Judge(State(0, 3, 0)));
  CheckVerdict(transmit_verdict::kSending, judge.Judge(State(500, 3, 0)));
  CheckVerdict(transmit_verdict::kWindowClosed, judge.Judge(State(500, 0, 0)));
  CheckVerdict(transmit_verdict::kWindowClosed, judge.Judge(State(500, 0, 1)));
}

// Guards against a peer that reads late and is taken for one that is gone: it
// leaves a probe unanswered because it has just answered another, and the next
// probe comes a second later.
TEST(transmit_judge, SoundPeersLeaveProbesUnanswered) {
  transmit_judge judge;
  for (int round = 0; round < 10; ++round) {
    CheckVerdict(transmit_verdict::kWindowClosed,
                 JudgeSilence(judge, milliseconds(499), milliseconds(1499)));
    CheckVerdict(transmit_verdict::kWindowClosed,
                 judge.Judge(State(500, 0, 0)));
  }
}

// The same with a kernel whose probes come rarely: the last answer is old when
// the next probe is under way.
TEST(transmit_judge, ProbesUnderWayAreNotSilence) {
  transmit_judge judge;
  for (int round = 0; round < 10; ++round) {
    CheckVerdict(transmit_verdict::kWindowClosed,
                 judge.Judge(State(500, 0, 1, milliseconds(30'000))));
    CheckVerdict(transmit_verdict::kWindowClosed,
                 judge.Judge(State(500, 0, 0)));
  }
}

TEST(transmit_judge, UnansweredProbesAreSilence) {
  transmit_judge judge;
  const time_span probed_at = milliseconds(1000);
  const time_span last =
      probed_at + kReportInterval * (transmit_judge::kSilentReports - 1);
  CheckVerdict(transmit_verdict::kWindowClosed,
               JudgeSilence(judge, probed_at, last - kReportInterval));
  CheckVerdict(transmit_verdict::kPeerSilent, JudgeSilence(judge, last, last));
}

}  // namespace papayakeel
