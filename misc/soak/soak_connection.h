// A connection between an entry VM's process and a server, as the network of
// the soak sees it.
#ifndef MISC_SOAK_SOAK_CONNECTION_H_
#define MISC_SOAK_SOAK_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "core/monotonic_time.h"

namespace papayakeel::soak {

class fake_server;

struct soak_connection {
  std::size_t entry_vm = 0;
  std::uint64_t process = 0;
  std::shared_ptr<fake_server> server;
  std::uint64_t exchange = 0;  // In flight; 0 when idle.
  bool is_open = true;         // As the entry VM sees it.
  bool is_silent = false;      // The network drops everything on it.
  bool has_surplus = false;    // Bytes arrived while it was idle.
  bool is_reused = false;
  std::optional<monotonic_time> last_completed;
};

using connection_pointer = std::shared_ptr<soak_connection>;

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_SOAK_CONNECTION_H_
