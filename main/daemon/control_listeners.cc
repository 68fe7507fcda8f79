// Opening of the listeners for operators and peers.
#include "main/daemon/control_listeners.h"

#include "drivers/logging.h"
#include "modules/operator_api/operator_api.h"
#include "modules/peer_link/peer_link.h"

namespace papayakeel {

void LogListenFailure(const network_address& address) {
  Log(log_level::kError, "listen_failed", {{"address", address.ToString()}});
}

bool OpenControlListeners(const service_registry& registry,
                          const network_address& operators,
                          const network_address& peers) {
  if (!registry.Find<operator_api>(operator_api::kName)->Listen()) {
    LogListenFailure(operators);
    return false;
  }
  const tl::expected<void, peer_listen_error> opened =
      registry.Find<peer_link>(peer_link::kName)->Listen();
  if (!opened) {
    Log(log_level::kError, "listen_failed",
        {{"address", peers.ToString()}, {"reason", ToString(opened.error())}});
    return false;
  }
  return true;
}

}  // namespace papayakeel
