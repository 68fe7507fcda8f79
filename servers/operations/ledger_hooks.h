// Callbacks that connect the operation ledger to its process. A callback must
// not call the ledger before the callback has returned.
#ifndef SERVERS_OPERATIONS_LEDGER_HOOKS_H_
#define SERVERS_OPERATIONS_LEDGER_HOOKS_H_

#include <functional>
#include <optional>

#include "core/network_address.h"
#include "servers/operations/epoch.h"
#include "servers/operations/operation_decision.h"

namespace papayakeel {

struct ledger_hooks {
  // Generates an epoch. Called by the constructor and for each epoch rotation.
  epoch_source generate_epoch;

  // Returns the caller address of the live remote member that has the given
  // current epoch, if any. Must never return the address of this process.
  std::function<std::optional<network_address>(const epoch&)> find_member;

  // Called with the new epoch after each epoch rotation. May be empty.
  std::function<void(const epoch&)> epoch_changed;

  // Called exactly once with the result for each waiter of a kRun or kJoin
  // decision, unless the waiter was removed by `Leave` first.
  std::function<void(waiter_id, const operation_result&)> finish_waiter;
};

}  // namespace papayakeel

#endif  // SERVERS_OPERATIONS_LEDGER_HOOKS_H_
