// Limits of the operation ledger.
#ifndef SERVERS_OPERATIONS_LEDGER_SETTINGS_H_
#define SERVERS_OPERATIONS_LEDGER_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "core/monotonic_time.h"

namespace papayakeel {

struct ledger_settings {
  // An epoch is closed when it holds this many keys or reaches this age.
  std::size_t keys_per_epoch = 100000;
  time_span epoch_age = std::chrono::minutes(10);

  // Minimum time for which a closed epoch is kept.
  time_span retention = std::chrono::minutes(10);

  // Maximum number of epochs in memory, including the current one. With the
  // default settings, two epochs suffice below 166 new keys per second; the
  // others absorb bursts.
  std::size_t epoch_limit = 4;

  // Maximum size of one stored answer and of all stored answers together.
  std::size_t answer_bytes_each = std::size_t{64} << 10;
  std::size_t answer_bytes_total = std::size_t{16} << 20;

  // Waiting callers, over all operations, at which further joins are refused.
  std::size_t waiter_limit = 10000;
};

}  // namespace papayakeel

#endif  // SERVERS_OPERATIONS_LEDGER_SETTINGS_H_
