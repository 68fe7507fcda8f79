// Runs a dispatcher in virtual time and checks its invariants on every hook
// call.
#ifndef TESTS_SERVERS_DISPATCH_DISPATCHER_DRIVER_H_
#define TESTS_SERVERS_DISPATCH_DISPATCHER_DRIVER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "servers/dispatch/dispatcher.h"

namespace papayakeel {

class dispatcher_driver {
 public:
  explicit dispatcher_driver(dispatch_settings settings = {});

  void SetEndpoints(int count);
  // Sets the id and the arrival time, and the deadline if it is unset.
  call_id Submit(call submitted);
  void Report(attempt_id id, attempt_result result, bool is_leaving = false);
  void Cancel(call_id id);
  void AdvanceTo(monotonic_time time);  // Runs all timers due until then.
  void AdvanceBy(time_span span) { AdvanceTo(now + span); }

  // Returns the address of endpoint number `index`, from 0.
  static network_address Address(int index);

  monotonic_time now{std::chrono::hours(1)};
  std::map<attempt_id, attempt_order> running;
  std::map<call_id, call> submitted;
  std::map<call_id, call_result> finished;
  std::vector<attempt_order> orders;
  std::vector<network_address> probes;
  std::vector<endpoint_finding> findings;
  std::set<network_address> leaving;
  std::vector<std::string> violations;  // Violated invariants.
  dispatch_settings settings;
  dispatcher subject;

 private:
  dispatch_hooks MakeHooks();
  void OnStart(const attempt_order& order);
  void OnFinish(const call_result& result);

  std::uint64_t random_state_ = 1;
  std::set<call_id> cancelled_;
  std::map<call_id, bool> may_have_run_;  // Set on a start, cleared by kNotRun.
};

}  // namespace papayakeel

#endif  // TESTS_SERVERS_DISPATCH_DISPATCHER_DRIVER_H_
