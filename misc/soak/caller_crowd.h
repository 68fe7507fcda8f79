// Callers that send, time out and repeat carelessly.
#ifndef MISC_SOAK_CALLER_CROWD_H_
#define MISC_SOAK_CALLER_CROWD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/monotonic_time.h"
#include "misc/soak/entry_process.h"
#include "misc/soak/wire.h"

namespace papayakeel::soak {

class soak_world;

struct crowd_counts {
  std::uint64_t calls = 0;
  std::uint64_t sendings = 0;
  std::uint64_t repeats = 0;            // Again, through any entry VM.
  std::uint64_t repeats_elsewhere = 0;  // Through another entry VM.
  std::uint64_t repeats_uncounted = 0;  // With an unchanged attempt number.
  std::uint64_t concurrent_copies = 0;
  std::uint64_t delayed = 0;
  std::uint64_t old_lists = 0;
  std::uint64_t old_epochs = 0;
  std::uint64_t new_keys = 0;
  std::uint64_t other_requests = 0;  // One key for two requests.
  std::uint64_t redirects = 0;
  std::uint64_t timeouts = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
};

class caller_crowd {
 public:
  explicit caller_crowd(soak_world& world) : world_(world) {}

  // Starts one call: an idempotent lookup or once-only work, mostly with a key.
  void StartCall();

  const crowd_counts& counts() const { return counts_; }
  std::size_t open_calls() const { return open_calls_; }

 private:
  struct flow {
    wire_request request;
    std::size_t caller = 0;
    std::size_t entry_vm = 0;
    bool is_keyed = false;
    int sendings = 0;
    int redirects = 0;
    std::uint64_t sending = 0;  // The one that is awaited; 0 for none.
  };
  using flow_pointer = std::shared_ptr<flow>;
  struct address_list {
    monotonic_time read_at;
    std::vector<listed_address> addresses;
  };

  const std::vector<listed_address>& Addresses(std::size_t caller,
                                               const std::string& service);
  void TakeNewKey(const flow_pointer& started);
  std::size_t ChooseEntryVm(const flow_pointer& started);
  void Send(const flow_pointer& started);
  // Sends without awaiting the reply.
  void SendCopy(const flow_pointer& started, std::size_t entry_vm);
  void Transmit(const flow_pointer& started,
                std::size_t entry_vm,
                std::uint64_t sending);
  void OnReply(const flow_pointer& started,
               const wire_request& request,
               std::uint64_t sending,
               const wire_reply& reply);
  void OnTimeout(const flow_pointer& started, std::uint64_t sending);
  void Repeat(const flow_pointer& started, double chance, bool needs_new_key);
  void End();

  soak_world& world_;
  crowd_counts counts_;
  std::size_t open_calls_ = 0;
  std::map<std::pair<std::size_t, std::string>, address_list> lists_;
};

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_CALLER_CROWD_H_
