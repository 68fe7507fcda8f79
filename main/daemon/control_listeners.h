// What both forms of papayakeeld do alike when they open their listeners.
#ifndef MAIN_DAEMON_CONTROL_LISTENERS_H_
#define MAIN_DAEMON_CONTROL_LISTENERS_H_

#include <string_view>

#include "core/network_address.h"
#include "core/service_registry.h"

namespace papayakeel {

// Logs that an address cannot be used.
void LogListenFailure(const network_address& address);

// Opens the listeners for operators and peers, which are at these addresses.
// Logs a failure and returns false.
bool OpenControlListeners(const service_registry& registry,
                          const network_address& operators,
                          const network_address& peers);

}  // namespace papayakeel

#endif  // MAIN_DAEMON_CONTROL_LISTENERS_H_
