// Conversion from a service definition.
#include "servers/dispatch/dispatch_settings.h"

namespace papayakeel {

dispatch_settings dispatch_settings::From(const service_definition& definition,
                                          int entry_vm_limit) {
  dispatch_settings settings;
  settings.service = definition.name;
  settings.slots_per_endpoint = definition.slots_per_endpoint;
  settings.expected_service_time = definition.expected_service_time;
  settings.retry_share = definition.retry_share;
  settings.hedge_share = definition.hedge_share;
  settings.queue_limit = definition.queue_limit;
  settings.zone_weights = definition.zone_weights;
  settings.probes.budget_per_second = definition.probe_budget_per_second;
  settings.probes.probe_cost = definition.probe_cost;
  settings.probes.entry_vm_limit = entry_vm_limit;
  return settings;
}

}  // namespace papayakeel
