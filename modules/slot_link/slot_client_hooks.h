// Callbacks that notify the holder of a request about its slots.
#ifndef MODULES_SLOT_LINK_SLOT_CLIENT_HOOKS_H_
#define MODULES_SLOT_LINK_SLOT_CLIENT_HOOKS_H_

#include <functional>

#include "servers/scheduling/slot_hooks.h"

namespace papayakeel {

struct slot_client_hooks {
  // A slot was granted: the request may be sent to this endpoint. The holder
  // must report when the attempt ends.
  std::function<void(const slot_grant&)> granted;
  // The request was rejected; no further attempt will be granted.
  std::function<void(const slot_rejection&)> rejected;
};

}  // namespace papayakeel

#endif  // MODULES_SLOT_LINK_SLOT_CLIENT_HOOKS_H_
