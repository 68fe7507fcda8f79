// What the holder of a request is told about its slots.
#ifndef MODULES_SLOT_LINK_SLOT_CLIENT_HOOKS_H_
#define MODULES_SLOT_LINK_SLOT_CLIENT_HOOKS_H_

#include <functional>

#include "servers/scheduling/slot_hooks.h"

namespace papayakeel {

struct slot_client_hooks {
  // The request may be sent to this endpoint. Its end must be reported.
  std::function<void(const slot_grant&)> granted;
  // No further attempt will be granted.
  std::function<void(const slot_rejection&)> rejected;
};

}  // namespace papayakeel

#endif  // MODULES_SLOT_LINK_SLOT_CLIENT_HOOKS_H_
