// Work of a fake server.
#include "misc/soak/fake_server.h"

#include <utility>

#include "misc/soak/soak_world.h"

namespace papayakeel::soak {

namespace {

using std::chrono::milliseconds;

constexpr int kSlots = 2;
// With the callers' rate about a third of the slots are busy.
constexpr time_span kWork = milliseconds(50);
constexpr time_span kProbeWork = milliseconds(6);
constexpr int kSlowFactor = 8;
constexpr int kColdFactor = 4;

}  // namespace

fake_server::fake_server(soak_world& world,
                         std::uint64_t id,
                         std::string service,
                         network_address address)
    : world_(world),
      id_(id),
      service_(std::move(service)),
      address_(std::move(address)) {}

void fake_server::Accept(const connection_pointer& connection) {
  if (connections_.size() > 256)
    connections_.erase(connections_.begin(), connections_.begin() + 128);
  connections_.push_back(connection);
}

void fake_server::Receive(const connection_pointer& connection,
                          std::uint64_t exchange,
                          const wire_request& request) {
  if (is_stopped_)
    return;
  if (leaving_since_) {
    world_.verdicts().WorkReceived(
        connection->process, id_, world_.now() - *leaving_since_,
        world_.IsUndisturbedSince(connection->entry_vm, *leaving_since_));
  }
  job& added = jobs_[exchange];
  added.connection = connection;
  added.request = request;
  if (IsNow(fails_until_))
    return FailAtOnce(exchange);
  queue_.push_back(exchange);
  StartNext();
}

void fake_server::Cancel(std::uint64_t exchange) {
  const auto found = jobs_.find(exchange);
  if (found == jobs_.end())
    return;
  // Some servers take no notice.
  if (!found->second.is_running && world_.random().Chance(0.5))
    found->second.is_cancelled = true;
}

void fake_server::Probe(const std::function<void(bool)>& done) {
  if (!is_listening_)
    return done(false);
  world_.verdicts().ProbeRan(id_, ToMilliseconds(kProbeWork));
  done(!IsNow(fails_until_));
}

void fake_server::BeSlow(time_span length) {
  slow_until_ = world_.now() + length;
}

void fake_server::FailFast(time_span length) {
  fails_until_ = world_.now() + length;
}

void fake_server::BeCold(time_span length) {
  cold_until_ = world_.now() + length;
}

void fake_server::Leave(time_span linger, bool closes_listener) {
  if (leaving_since_)
    return;
  leaving_since_ = world_.now();
  lingers_until_ = world_.now() + linger;
  is_listening_ = !closes_listener;
  for (auto& [exchange, each] : jobs_)
    each.began_before_leaving = true;
  world_.time().After(linger,
                      [self = shared_from_this()] { self->StopWhenIdle(); });
}

void fake_server::SilenceConnections() {
  for (const std::weak_ptr<soak_connection>& each : connections_) {
    if (const connection_pointer connection = each.lock())
      connection->is_silent = true;
  }
}

void fake_server::StartNext() {
  while (running_ < kSlots && !queue_.empty()) {
    const std::uint64_t exchange = queue_.front();
    queue_.pop_front();
    const auto found = jobs_.find(exchange);
    if (found == jobs_.end())
      continue;
    if (found->second.is_cancelled) {
      jobs_.erase(found);
      continue;
    }
    found->second.is_running = true;
    ++running_;
    world_.verdicts().RunStarted(found->second.request);
    time_span work = world_.random().Exponential(kWork);
    if (IsNow(slow_until_))
      work *= kSlowFactor;
    if (IsNow(cold_until_))
      work *= kColdFactor;
    world_.time().After(work, [self = shared_from_this(), exchange] {
      self->Finish(exchange);
    });
  }
  StopWhenIdle();
}

void fake_server::Finish(std::uint64_t exchange) {
  --running_;
  wire_answer answer;
  answer.exchange = exchange;
  answer.body = AnswerBody(jobs_.at(exchange).request.content);
  Answer(exchange, answer);
  StartNext();
}

void fake_server::FailAtOnce(std::uint64_t exchange) {
  const job failed = jobs_.at(exchange);
  const std::size_t kind = world_.random().Below(4);
  if (kind >= 2)
    world_.verdicts().RunStarted(failed.request);
  if (kind == 3) {
    jobs_.erase(exchange);
    return world_.CloseByServer(failed.connection);
  }
  wire_answer answer;
  answer.exchange = exchange;
  answer.body = AnswerBody(failed.request.content);
  answer.is_not_run = kind < 2;
  answer.is_server_error = true;
  Answer(exchange, answer);
}

void fake_server::Answer(std::uint64_t exchange, const wire_answer& answer) {
  job& done = jobs_.at(exchange);
  wire_answer sent = answer;
  sent.is_leaving = leaving_since_.has_value();
  connection_pointer connection = done.connection;
  if (world_.HasAnswerFault(fault::kCrossedAnswers)) {
    // The answer goes out on the connection of another request, whose answer
    // comes out on this one.
    for (auto& [other, each] : jobs_) {
      if (other != exchange && each.is_running) {
        std::swap(connection, each.connection);
        world_.CountAnswerFault(fault::kCrossedAnswers);
        break;
      }
    }
  }
  jobs_.erase(exchange);
  Write(connection, sent);
}

void fake_server::Write(const connection_pointer& connection,
                        const wire_answer& answer) {
  wire_answer sent = answer;
  time_span delay{0};
  if (world_.HasAnswerFault(fault::kLateAnswers)) {
    delay = world_.random().Between(milliseconds(100), milliseconds(4000));
    world_.CountAnswerFault(fault::kLateAnswers);
  }
  if (world_.HasAnswerFault(fault::kTruncatedAnswers)) {
    sent.body.resize(world_.random().Below(sent.body.size()));
    sent.is_complete = false;
    world_.CountAnswerFault(fault::kTruncatedAnswers);
  }
  world_.DeliverAnswer(connection, sent, delay);
  if (!sent.is_complete)
    return;
  if (world_.HasAnswerFault(fault::kDuplicateAnswers)) {
    world_.CountAnswerFault(fault::kDuplicateAnswers);
    world_.DeliverAnswer(
        connection, sent,
        delay + world_.random().Between(milliseconds(0), milliseconds(20)));
  }
}

void fake_server::StopWhenIdle() {
  const bool must_wait = !leaving_since_ || is_stopped_ || !jobs_.empty() ||
                         world_.now() < lingers_until_;
  if (must_wait)
    return;
  is_stopped_ = true;
  is_listening_ = false;
  for (const std::weak_ptr<soak_connection>& each : connections_) {
    if (const connection_pointer connection = each.lock())
      world_.CloseByServer(connection);
  }
  world_.OnServerStopped(*this);
}

bool fake_server::IsNow(monotonic_time until) const {
  return world_.now() < until;
}

}  // namespace papayakeel::soak
