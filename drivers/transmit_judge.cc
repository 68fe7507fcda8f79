// Classifies reports on a connection with written bytes.
#include "drivers/transmit_judge.h"

namespace papayakeel {

transmit_verdict transmit_judge::Judge(const tcp_state& state) {
  const bool is_window_closed =
      state.unsent_bytes > 0 && state.unacknowledged_segments == 0;
  const bool lacks_answer =
      is_window_closed && state.unanswered_probes > 0 &&
      state.since_last_acknowledgement >= kAcknowledgementInterval;
  reports_without_answer_ = lacks_answer ? reports_without_answer_ + 1 : 0;
  if (state.unsent_bytes == 0)
    return transmit_verdict::kSent;
  // Bytes in flight are the kernel's to judge: the window is open.
  if (!is_window_closed)
    return transmit_verdict::kSending;
  return reports_without_answer_ >= kSilentReports
             ? transmit_verdict::kPeerSilent
             : transmit_verdict::kWindowClosed;
}

}  // namespace papayakeel
