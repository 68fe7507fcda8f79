// Opening of listeners, shared by `daemon` and `entry_daemon`.
#ifndef MAIN_DAEMON_CONTROL_LISTENERS_H_
#define MAIN_DAEMON_CONTROL_LISTENERS_H_

#include <string_view>

#include "core/network_address.h"
#include "core/service_registry.h"

namespace papayakeel {

// Logs that listening on `address` failed.
void LogListenFailure(const network_address& address);

// Opens the listeners for operators and peers. On failure, logs the address and
// returns false.
bool OpenControlListeners(const service_registry& registry,
                          const network_address& operators,
                          const network_address& peers);

}  // namespace papayakeel

#endif  // MAIN_DAEMON_CONTROL_LISTENERS_H_
