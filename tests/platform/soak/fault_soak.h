// One run of the soak: entry VMs as real processes, the platform and endpoints
// as stand-ins behind relays, callers, and faults from a plan.
#ifndef TESTS_PLATFORM_SOAK_FAULT_SOAK_H_
#define TESTS_PLATFORM_SOAK_FAULT_SOAK_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tests/platform/process/platform_stand_in.h"
#include "tests/platform/soak/fault_plan.h"
#include "tests/platform/soak/soak_record.h"
#include "tests/process/support/tcp_relay.h"

namespace papayakeel::platform {

class fault_soak {
 public:
  fault_soak(std::uint64_t seed, soak_size size);

  // Starts the VMs. Returns false when they are not ready within 20 s.
  bool Start();

  // Plays the plan under traffic, ends all faults and collects the record.
  soak_record Run();

  // Whether every VM is ready and serves within the stated time for recovery.
  bool IsRecovered();

  // The log of a VM, for a run that is traced.
  std::string LogOf(std::size_t vm) const { return site_.LogOf(vm); }

 private:
  struct pending_end {
    monotonic_time at;
    std::optional<std::size_t> fault;  // Index in record_.faults.
    std::function<void()> end;
  };

  void Begin(const planned_fault& planned);
  void BeginVmFault(const planned_fault& planned);
  // Stops the fleet as a whole, a group after the other, and starts it anew.
  void StopAll(const planned_fault& planned);
  void BeginEndpointFault(const planned_fault& planned);
  // Plays until all of the plan's faults have ended.
  void Play(const std::vector<planned_fault>& plan);
  void Step();
  void EndDueFaults();
  void DoLater(time_span delay, std::function<void()> action);
  void EndLater(const planned_fault& planned, std::function<void()> end);
  void Restart(std::size_t vm);
  void LeaveAndReturn(std::size_t endpoint, time_span lasts);
  void AddEndpoint();
  // Evacuates the zone, unless it would be the last, and takes it back.
  void EvacuateAndReturn(const planned_fault& planned);
  void MakeZoneCold(const planned_fault& planned);
  // When requests reached each endpoint of the zone.
  std::vector<std::vector<monotonic_time>> ArrivalsIn(std::size_t zone);
  void ReportOften(std::uint64_t seed);
  void KeepCopy();
  void BeginRestore(const planned_fault& planned);
  void EndRestore(const store_copy& copy, std::uint64_t seed);
  void PutNewState();
  tcp_relay& RelayOf(std::size_t endpoint) {
    return *endpoint_relays_.at(endpoint);
  }
  bool IsEveryVmReady() const;

  const soak_size size_;
  const std::uint64_t seed_;
  platform_stand_in site_;
  std::unique_ptr<tcp_relay> store_relay_;
  std::vector<std::unique_ptr<tcp_relay>> endpoint_relays_;
  std::vector<std::unique_ptr<std::atomic<int>>> boots_;  // By VM.
  std::vector<bool> is_leaving_;                          // By endpoint.
  std::set<std::size_t> cold_;                            // Zones.
  std::set<std::size_t> evacuated_;                       // Zones.
  std::vector<monotonic_time> serving_since_;             // By endpoint.
  struct kept_copy {
    monotonic_time taken_at;
    store_copy copy;
  };
  std::deque<kept_copy> copies_;  // Of the store, oldest first.
  std::atomic<int> newest_state_{0};
  std::vector<std::string> lookups_;
  std::vector<pending_end> pending_;
  soak_record record_;
};

}  // namespace papayakeel::platform

#endif  // TESTS_PLATFORM_SOAK_FAULT_SOAK_H_
