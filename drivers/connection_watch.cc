// Acts on the kernel's reports of a connection.
#include "drivers/connection_watch.h"

#include <utility>

#include "drivers/connection_poller.h"
#include "drivers/event_loop.h"

namespace papayakeel {

connection_watch::connection_watch(boost::asio::execution_context& context,
                                   connection_watch_hooks hooks)
    : poller_(boost::asio::use_service<detail::connection_poller>(context)),
      hooks_(std::move(hooks)) {}

connection_watch::~connection_watch() {
  Stop();
}

void connection_watch::Start(int socket_handle) {
  socket_handle_ = socket_handle;
  judge_ = transmit_judge();
  stalled_since_.reset();
  limit_ = kUnacknowledgedLimit;
}

void connection_watch::Stop() {
  socket_handle_ = -1;
  is_sending_ = false;
  watches_for_close_ = false;
  poller_.Remove(*this);
}

void connection_watch::WatchWrite(time_span longest_pause) {
  if (socket_handle_ < 0)
    return;
  longest_pause_ = longest_pause;
  is_sending_ = true;
  poller_.Add(*this);
}

time_span connection_watch::stalled_for(monotonic_time now) const {
  return stalled_since_ ? now - *stalled_since_ : time_span::zero();
}

void connection_watch::WatchForClose() {
  if (socket_handle_ < 0)
    return;
  watches_for_close_ = true;
  poller_.Add(*this);
}

void connection_watch::IgnoreClose() {
  watches_for_close_ = false;
}

void connection_watch::Poll() {
  const std::optional<tcp_state> state = ReadTcpState(socket_handle_);
  if (!state)
    return Stop();
  if (watches_for_close_ && state->is_peer_closed) {
    const std::function<void()> report = hooks_.peer_closed;
    Stop();
    return report();
  }
  if (is_sending_) {
    const transmit_verdict verdict = judge_.Judge(*state);
    if (verdict == transmit_verdict::kPeerSilent) {
      const std::function<void()> report = hooks_.peer_silent;
      Stop();
      return report();
    }
    // The owner of the connection ends a longer pause itself, before the kernel
    // does. The kernel's limit is for what it sends after the owner has closed.
    const bool is_window_closed = verdict == transmit_verdict::kWindowClosed;
    if (!is_window_closed)
      stalled_since_.reset();
    else if (!stalled_since_)
      stalled_since_ = event_loop::Now();
    SetLimit(is_window_closed ? longest_pause_ + kUnacknowledgedLimit
                              : kUnacknowledgedLimit);
    is_sending_ = verdict != transmit_verdict::kSent;
  }
  if (!is_sending_ && !watches_for_close_)
    poller_.Remove(*this);
}

void connection_watch::SetLimit(time_span limit) {
  if (limit == limit_)
    return;
  limit_ = limit;
  SetUnacknowledgedLimit(socket_handle_, limit);
}

}  // namespace papayakeel
