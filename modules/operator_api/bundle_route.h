// Lets operators upload a signed bundle to this entry VM, for example while the
// configuration service is unavailable. Gossip distributes the bundle to the
// other entry VMs.
#ifndef MODULES_OPERATOR_API_BUNDLE_ROUTE_H_
#define MODULES_OPERATOR_API_BUNDLE_ROUTE_H_

namespace papayakeel {

class bundle_service;
class operator_api;

// Adds POST /bundle: 200 {"in_force", "version"} or 409 {"code", "detail"}.
void AddBundleRoute(operator_api& operators, bundle_service& bundles);

}  // namespace papayakeel

#endif  // MODULES_OPERATOR_API_BUNDLE_ROUTE_H_
