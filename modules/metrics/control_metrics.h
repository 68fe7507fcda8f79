// Control plane metrics: bundles, membership, peer links, readiness, platform
// client, operation ledger and connections to servers.
#ifndef MODULES_METRICS_CONTROL_METRICS_H_
#define MODULES_METRICS_CONTROL_METRICS_H_

namespace papayakeel {

class service_registry;

// Adds the collectors. Must be called once, after all services are registered
// and before they are started.
void AddControlMetrics(const service_registry& registry);

}  // namespace papayakeel

#endif  // MODULES_METRICS_CONTROL_METRICS_H_
