// Dispatcher settings of one service, taken from its definition.
#ifndef SERVERS_DISPATCH_DISPATCH_SETTINGS_H_
#define SERVERS_DISPATCH_DISPATCH_SETTINGS_H_

#include <map>
#include <string>

#include "core/monotonic_time.h"
#include "servers/bundles/service_definition.h"
#include "servers/measuring/probe_budget.h"

namespace papayakeel {

struct dispatch_settings {
  std::string service;
  int slots_per_endpoint = 2;
  time_span expected_service_time = std::chrono::milliseconds(20);
  double retry_share = 0.1;
  double hedge_share = 0.05;
  int queue_limit = 1024;
  std::map<std::string, double> zone_weights;
  probe_budget_settings probes;

  // `entry_vm_limit` is the number of entry VMs, from the bundle, by which the
  // probe budget is divided.
  static dispatch_settings From(const service_definition& definition,
                                int entry_vm_limit = 16);
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_DISPATCH_SETTINGS_H_
