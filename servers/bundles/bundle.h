// The signed traffic configuration of a deployment. It applies to all entry VMs
// and defines how they handle the calls of each service.
#ifndef SERVERS_BUNDLES_BUNDLE_H_
#define SERVERS_BUNDLES_BUNDLE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "servers/bundles/service_definition.h"

namespace papayakeel {

struct bundle {
  std::string deployment;

  // At least 1. Of two bundles, the one with the higher version takes effect.
  std::uint64_t version = 0;

  // Maximum number of entry VMs that exist at the same time. Probe budgets and
  // connection limits per endpoint are divided by this number.
  int entry_vm_limit = 16;

  std::vector<service_definition> services;

  // Returns the service with this name, or nullptr.
  const service_definition* FindService(std::string_view service_name) const;
};

// Each call keeps the bundle that was in force when the call started, so a call
// never uses settings from two bundles.
using bundle_pointer = std::shared_ptr<const bundle>;

}  // namespace papayakeel

#endif  // SERVERS_BUNDLES_BUNDLE_H_
