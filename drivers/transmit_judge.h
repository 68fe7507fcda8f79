// Tells a peer that reads late from one that no longer answers, by successive
// reports of the kernel on a connection with written bytes.
#ifndef DRIVERS_TRANSMIT_JUDGE_H_
#define DRIVERS_TRANSMIT_JUDGE_H_

#include <chrono>

#include "core/monotonic_time.h"
#include "drivers/tcp_state.h"

namespace papayakeel {

enum class transmit_verdict {
  kSent,          // No byte waits to be sent.
  kSending,       // Sent bytes wait for their acknowledgement.
  kWindowClosed,  // The peer takes no bytes, and answers the kernel's probes.
  kPeerSilent,    // The peer takes no bytes, and does not answer probes.
};

class transmit_judge {
 public:
  // Reports in a row with a probe that should be answered, after which a peer
  // counts as silent. Reports are counted instead of time, so that a process
  // that was suspended between two of them does not take a probe under way for
  // a lost one.
  static constexpr int kSilentReports = 6;

  // A sound peer may leave a probe unanswered: Linux sends at most one such
  // acknowledgement in half a second. The rest is for the time between two
  // reports.
  static constexpr time_span kAcknowledgementInterval =
      std::chrono::milliseconds(700);

  transmit_verdict Judge(const tcp_state& state);

 private:
  int reports_without_answer_ = 0;
};

}  // namespace papayakeel

#endif  // DRIVERS_TRANSMIT_JUDGE_H_
