// A stand-in for the users' platform on the loopback: its store, endpoints that
// register there, and entry VMs as processes of their own. Written from the
// platform's published protocol.
#ifndef TESTS_PLATFORM_PROCESS_PLATFORM_STAND_IN_H_
#define TESTS_PLATFORM_PROCESS_PLATFORM_STAND_IN_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "modules/http/http_listener.h"
#include "tests/platform/store_stand_in.h"
#include "tests/process/support/child_process.h"

namespace papayakeel::platform {

class platform_stand_in {
 public:
  platform_stand_in();
  ~platform_stand_in();
  platform_stand_in(const platform_stand_in&) = delete;
  platform_stand_in& operator=(const platform_stand_in&) = delete;

  // Writes an item to the store, or removes it.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  void SetStoreFault(store_fault fault);
  store_copy CopyStore();
  // Brings an older copy of the store back. What was written since is missing
  // until WriteAgain().
  void RestoreStore(const store_copy& copy);
  // Writes the newest desired state, the evacuations and the entries of all
  // endpoints again, and removes those that have ended, in an order drawn from
  // `seed`.
  void WriteAgain(std::uint64_t seed);
  // The writes of WriteAgain(), one by one; with `copy` only those that it
  // lacks. Each writes what is newest when it is called.
  std::vector<std::function<void()>> WritesAgain(
      const std::optional<store_copy>& copy);

  // Puts a desired state in force whose routes each send a prefix of the host
  // "a.example" to the service "booking": the once-only prefix "/book/", the
  // idempotent prefixes `lookups` and the download prefixes `downloads`.
  void PutState(int version,
                const std::vector<std::string>& lookups,
                const std::vector<std::string>& downloads = {});
  // The size of a request's body that desired states allow which are put later.
  void SetBodyLimit(std::size_t bytes) { body_limit_ = bytes; }

  // Evacuates a zone, or revokes that.
  void Evacuate(const std::string& zone);
  void RevokeEvacuation(const std::string& zone);

  // What a cold endpoint can handle by the desired states that are put later,
  // in requests per second.
  void SetWarmUpRate(double rate) { warm_up_rate_ = rate; }
  // Makes the endpoint cold for `length`. Its status checks say so, and its
  // entry when `is_reported`.
  void MakeCold(std::size_t endpoint, time_span length, bool is_reported);

  // Starts an endpoint that takes `work` for each request and registers it.
  std::size_t AddEndpoint(time_span work, const std::string& zone = "z");
  // From now on it takes this long for each request.
  void SetWork(std::size_t endpoint, time_span work);
  // From now on its answers have at least this many bytes.
  void SetAnswerSize(std::size_t endpoint, std::size_t bytes);
  // From now on its answers below "/file/" have this many bytes.
  void SetDownloadSize(std::size_t endpoint, std::size_t bytes);
  // Registers it anew, as leaving or not.
  void Register(std::size_t endpoint, bool is_leaving);
  // Where the endpoint listens, and where entry VMs are told to find it when
  // that is a relay.
  network_address AddressOf(std::size_t endpoint) const;
  void SetPublishedAddress(std::size_t endpoint,
                           const network_address& address);
  // Ends the endpoint's entry, as for one that has left.
  void Unregister(std::size_t endpoint);
  // From now on it answers, after its work time, that it has not run requests.
  void Reject(std::size_t endpoint);
  // From now on all its answers say that it leaves; its entry does not.
  void AnnounceLeaving(std::size_t endpoint);
  // How often a request reached any endpoint.
  int ArrivalsOf(const std::string& request_id);
  // How often an endpoint ran the request, or any request.
  int RunsOf(const std::string& request_id);
  int RunsOn(std::size_t endpoint);
  // When a request last reached this endpoint.
  std::optional<monotonic_time> LastArrivalOn(std::size_t endpoint);
  // When requests reached this endpoint, oldest first.
  std::vector<monotonic_time> ArrivalTimesOn(std::size_t endpoint);
  // When status checks reached this endpoint, oldest first.
  std::vector<monotonic_time> StatusCheckTimesOn(std::size_t endpoint);

  // Starts an entry VM at an address of its own. Its log goes to a file, or to
  // `log_path` when that is given.
  std::size_t AddEntryVm(const std::string& log_path = "");
  // Adds `count` VMs and waits until each is ready and knows the others.
  // Returns false if that takes too long.
  bool AddEntryVms(std::size_t count);
  // Ends the VM's process, if it still runs, and starts it anew.
  void RestartEntryVm(std::size_t index);
  // The memory limit of VMs that are added later, in MB.
  void SetMemoryLimit(int megabytes) { memory_megabytes_ = megabytes; }
  // The link speed that VMs that are added later are told, in Mbit/s.
  void SetLinkSpeed(int megabits) { link_megabits_ = megabits; }
  // Where the store listens, and where VMs that are added later are told to
  // find it when that is a relay.
  network_address StoreAddress() const;
  void SetPublishedStoreAddress(const network_address& address);
  // The host part of the loopback addresses of this platform's VMs.
  const std::string& host_prefix() const { return host_prefix_; }
  child_process& entry_vm(std::size_t index) { return *vms_.at(index).process; }
  network_address CallersOf(std::size_t index) const;
  std::string LogOf(std::size_t index) const;
  // The VM's metrics as text, or nothing when it does not answer.
  std::string MetricsOf(std::size_t index) const;
  bool IsReady(std::size_t index) const;
  // The addresses that this VM names to callers.
  std::vector<std::string> AddressesFrom(std::size_t index) const;

 private:
  struct stand_in_endpoint {
    std::string id;
    std::string zone;
    time_span work{0};
    std::size_t answer_bytes = 0;
    std::size_t download_bytes = 0;
    bool is_rejecting = false;
    bool announces_leaving = false;
    int registrations = 0;
    monotonic_time cold_until;
    bool reports_warm_up = true;  // In its entry.
    bool is_leaving = false;
    bool is_registered = true;
    int runs = 0;
    std::vector<monotonic_time> arrival_times;
    std::vector<monotonic_time> status_check_times;
    std::string entry;  // As it was last written.
    network_address published_address;
    std::unique_ptr<http_listener> listener;
  };
  struct stand_in_vm {
    std::string host;
    std::string settings_path;
    std::string log_path;
    std::unique_ptr<child_process> process;
  };

  // Runs `action` in the thread of the listeners and waits for its end.
  void Run(const std::function<void()>& action) const;
  std::unique_ptr<http_listener> Listen(
      std::function<void(http_exchange)> handle);
  void StartProcess(stand_in_vm& vm);
  void HandleEndpoint(std::size_t index, const http_exchange& exchange);

  std::string directory_;
  std::string host_prefix_;  // Of the loopback addresses of this test.
  mutable boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  std::unique_ptr<store_stand_in> store_;
  std::string newest_state_;  // As the operator wrote it.
  double warm_up_rate_ = 0;
  // Zones that have been evacuated, and whether they still are.
  std::map<std::string, bool> evacuations_;
  network_address published_store_address_;
  int memory_megabytes_ = 260;
  std::size_t body_limit_ = 1 << 20;
  int link_megabits_ = 0;  // 0: not stated.
  std::vector<std::unique_ptr<stand_in_endpoint>> endpoints_;
  std::map<std::string, int> arrivals_;  // By request id.
  std::map<std::string, int> runs_;
  std::vector<std::unique_ptr<boost::asio::steady_timer>> working_;
  std::vector<stand_in_vm> vms_;
  std::thread thread_;
};

}  // namespace papayakeel::platform

#endif  // TESTS_PLATFORM_PROCESS_PLATFORM_STAND_IN_H_
