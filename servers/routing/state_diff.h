// Differences between two versions of the desired state.
#ifndef SERVERS_ROUTING_STATE_DIFF_H_
#define SERVERS_ROUTING_STATE_DIFF_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "servers/routing/desired_state.h"

namespace papayakeel {

struct field_text {
  std::string shown;  // As it is written in the document.
  std::string
      compared;  // Equal for values that mean the same, as 2s and 2000ms.
};

// Fields of one entry by their path within the entry.
using entry_fields = std::map<std::string, field_text>;

// A desired state with the fields that its document holds, including those that
// the parser ignores.
struct described_state {
  desired_state state;
  std::vector<entry_fields> routes;  // Same positions as in `state.routes`.
  std::map<std::string, entry_fields> services;  // Those in effect, by name.
  entry_fields limits;
};

struct field_difference {
  std::string field;
  std::optional<std::string> before;  // Empty if the field is added.
  std::optional<std::string> after;   // Empty if the field is removed.
};

struct entry_difference {
  enum class kind { kAdded, kRemoved, kChanged };
  kind change = kind::kChanged;
  std::string name;  // Name of the service, or host and prefix of the route.
  std::vector<field_difference> fields;  // Empty unless changed.
};

// Returns the name of `change` for output.
const char* ToString(entry_difference::kind change);

struct state_difference {
  std::uint64_t version_before = 0;
  std::uint64_t version_after = 0;
  std::vector<entry_difference> routes;
  std::vector<entry_difference> services;
  std::vector<field_difference> limits;

  // Entry VMs ignore a state whose version is not higher.
  bool is_version_higher() const { return version_after > version_before; }
  bool has_changes() const {
    return !routes.empty() || !services.empty() || !limits.empty();
  }
};

// Entries that are overridden by a later one of the same state are left out.
state_difference CompareStates(const described_state& before,
                               const described_state& after);

}  // namespace papayakeel

#endif  // SERVERS_ROUTING_STATE_DIFF_H_
