// Behaviour of careless callers.
#include "misc/soak/caller_crowd.h"

#include <utility>

#include "misc/soak/soak_world.h"

namespace papayakeel::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kCallers = 20;
constexpr int kMaxSendings = 6;
constexpr int kMaxRedirects = 3;
constexpr time_span kLatency = milliseconds(3);
constexpr time_span kPatience = milliseconds(600);
constexpr time_span kListAge = seconds(5);
constexpr time_span kOldListAge = seconds(60);

}  // namespace

void caller_crowd::StartCall() {
  ++counts_.calls;
  ++open_calls_;
  const flow_pointer started = std::make_shared<flow>();
  started->caller = world_.random().Below(kCallers);
  wire_request& request = started->request;
  request.content = world_.NextId();
  request.service = world_.random().Chance(0.6) ? "bokning" : "releasedesk";
  const bool is_lookup = world_.random().Chance(0.4);
  request.is_once_only = !is_lookup;
  request.method = is_lookup ? "GET" : "POST";
  request.target = is_lookup ? "/jobs/1" : "/jobs";
  started->is_keyed = !is_lookup && world_.random().Chance(0.9);
  started->entry_vm = ChooseEntryVm(started);
  if (started->is_keyed)
    TakeNewKey(started);
  Send(started);
  if (started->is_keyed && world_.random().Chance(0.05)) {
    ++counts_.concurrent_copies;
    SendCopy(started, world_.random().Below(world_.entry_vms()));
  }
  // The same key for another request: it must not get this one's answer.
  if (started->is_keyed && world_.random().Chance(0.01)) {
    ++counts_.other_requests;
    const flow_pointer other = std::make_shared<flow>(*started);
    other->request.content = world_.NextId();
    // Counted as a subject of its own, since it must not run under this key.
    other->request.subject = world_.NextId();
    SendCopy(other, started->entry_vm);
  }
}

const std::vector<listed_address>& caller_crowd::Addresses(
    std::size_t caller,
    const std::string& service) {
  address_list& list = lists_[{caller, service}];
  const time_span age = world_.now() - list.read_at;
  const bool is_old = age > kListAge;
  const bool is_careless = world_.random().Chance(0.7);
  if (is_old && !(is_careless && age < kOldListAge) &&
      list.read_at != monotonic_time{}) {
    list.addresses.clear();
  }
  if (!list.addresses.empty()) {
    if (is_old)
      ++counts_.old_lists;
    return list.addresses;
  }
  entry_process* asked = world_.FindReachable(caller);
  if (asked != nullptr) {
    list.addresses = asked->Addresses(service, std::to_string(caller));
    list.read_at = world_.now();
  }
  return list.addresses;
}

void caller_crowd::TakeNewKey(const flow_pointer& started) {
  wire_request& request = started->request;
  request.attempt = 1;
  request.subject = world_.NextId();
  std::string chosen;
  const std::vector<listed_address>& addresses =
      Addresses(started->caller, request.service);
  for (const listed_address& each : addresses) {
    if (chosen.empty() || each.entry_vm == started->entry_vm)
      chosen = each.epoch;
  }
  if (chosen.empty() || world_.random().Chance(0.02)) {
    ++counts_.old_epochs;
    chosen = world_.RandomEpochUsed();
  }
  request.key = chosen + "." + std::to_string(request.subject);
}

std::size_t caller_crowd::ChooseEntryVm(const flow_pointer& started) {
  const std::vector<listed_address>& addresses =
      Addresses(started->caller, started->request.service);
  if (addresses.empty() || world_.random().Chance(0.15))
    return world_.random().Below(world_.entry_vms());
  return addresses.front().entry_vm;
}

void caller_crowd::Send(const flow_pointer& started) {
  ++started->sendings;
  started->sending = world_.NextId();
  if (!started->is_keyed)
    started->request.subject = started->sending;
  Transmit(started, started->entry_vm, started->sending);
  // Some callers give up long before an answer can come.
  const time_span patience =
      world_.random().Chance(0.05)
          ? world_.random().Between(milliseconds(10), milliseconds(200))
          : kPatience + milliseconds(100);
  world_.time().After(patience, [this, started, sending = started->sending] {
    OnTimeout(started, sending);
  });
}

void caller_crowd::SendCopy(const flow_pointer& started, std::size_t entry_vm) {
  Transmit(started, entry_vm, world_.NextId());
}

void caller_crowd::Transmit(const flow_pointer& started,
                            std::size_t entry_vm,
                            std::uint64_t sending) {
  ++counts_.sendings;
  const wire_request request = started->request;
  const std::size_t caller = started->caller;
  time_span delay = kLatency;
  if (world_.random().Chance(0.03)) {
    ++counts_.delayed;
    delay = world_.random().Between(milliseconds(50), milliseconds(3000));
  }
  world_.DeliverToEntryVm(
      caller, entry_vm, delay,
      [this, started, request, sending, caller](entry_process& process) {
        const std::size_t vm = process.entry_vm();
        process.HandleRequest(request, sending, kPatience,
                              [this, started, request, sending, caller,
                               vm](const wire_reply& reply) {
                                world_.DeliverToCaller(
                                    caller, vm, kLatency,
                                    [this, started, request, sending, reply] {
                                      OnReply(started, request, sending, reply);
                                    });
                              });
      });
}

void caller_crowd::OnReply(const flow_pointer& started,
                           const wire_request& request,
                           std::uint64_t sending,
                           const wire_reply& reply) {
  // Copies whose reply is not awaited get whole answers too.
  if (reply.kind == reply_kind::kAnswered)
    world_.verdicts().AnswerTaken(request, reply.body);
  if (started->sending != sending)
    return;
  started->sending = 0;
  switch (reply.kind) {
    case reply_kind::kAnswered:
      ++counts_.answered;
      return Repeat(started, started->is_keyed ? 0.08 : 0, false);
    case reply_kind::kNotRun:
      ++counts_.not_run;
      return Repeat(started, 0.6, reply.needs_new_key);
    case reply_kind::kUnknown:
      ++counts_.unknown;
      return Repeat(started, 0.6, false);
    case reply_kind::kRedirect:
      ++counts_.redirects;
      if (++started->redirects > kMaxRedirects)
        return End();
      started->entry_vm = reply.entry_vm;
      return Send(started);
  }
}

void caller_crowd::OnTimeout(const flow_pointer& started,
                             std::uint64_t sending) {
  if (started->sending != sending)
    return;
  started->sending = 0;
  ++counts_.timeouts;
  world_.DeliverToEntryVm(
      started->caller, started->entry_vm, kLatency,
      [sending](entry_process& process) { process.CallerGone(sending); });
  Repeat(started, 0.7, false);
}

void caller_crowd::Repeat(const flow_pointer& started,
                          double chance,
                          bool needs_new_key) {
  const bool repeats =
      started->sendings < kMaxSendings && world_.random().Chance(chance);
  if (!repeats)
    return End();
  ++counts_.repeats;
  const std::size_t before = started->entry_vm;
  started->entry_vm = ChooseEntryVm(started);
  if (started->entry_vm != before)
    ++counts_.repeats_elsewhere;
  if (started->is_keyed && needs_new_key) {
    ++counts_.new_keys;
    TakeNewKey(started);
  } else if (world_.random().Chance(0.15)) {
    ++counts_.repeats_uncounted;
  } else {
    ++started->request.attempt;
  }
  world_.time().After(
      world_.random().Between(milliseconds(1), milliseconds(300)),
      [this, started] { Send(started); });
}

void caller_crowd::End() {
  --open_calls_;
}

}  // namespace papayakeel::soak
