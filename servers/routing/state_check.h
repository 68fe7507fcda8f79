// Checks of a desired state that its parser does not make: references between
// its entries, entries without effect and limits that contradict each other.
#ifndef SERVERS_ROUTING_STATE_CHECK_H_
#define SERVERS_ROUTING_STATE_CHECK_H_

#include <string>
#include <vector>

#include "core/monotonic_time.h"
#include "servers/routing/desired_state.h"

namespace papayakeel {

// One problem of a desired state. Errors either make the entry VMs refuse the
// whole state or leave requests without a service; warnings do neither.
struct state_finding {
  enum class code {
    kNotReadable,       // Error: the daemon's parser refuses the document.
    kUndefinedService,  // Error.
    kBadPrefix,         // Error: does not begin and end with a slash.
    kNeverMatches,      // The entry has no effect.
    kContradiction,     // Two limits contradict each other.
    kZeroWeight,        // The target of a split gets no requests.
  };
  code reason = code::kNotReadable;
  std::string location;  // In the document; empty for the whole document.
  std::string message;   // Without the location.
  std::string
      shadowed_by;  // Location of the entry in effect instead, or empty.

  bool is_error() const;
};

// Returns the name of `reason` for JSON output.
const char* ToString(state_finding::code reason);

// A value and its location in the document.
template <typename value_type>
struct located {
  value_type value{};
  std::string location;  // Empty if the value is absent or unreadable.

  bool is_read() const { return !location.empty(); }
};

struct located_target {
  located<std::string> service;
  located<double> weight;
};

struct located_route {
  std::string location;
  located<std::string> host;
  located<std::string> prefix;
  located<repeat_rule> repeat;
  located<time_span> goal;
  located<time_span> timeout;
  located<int> max_attempts;
  std::vector<located_target> targets;  // Includes targets of weight 0.
};

struct located_service {
  std::string location;
  located<std::string> name;
};

// A desired state as far as it could be read, in the order of the document.
struct located_state {
  std::vector<located_route> routes;
  std::vector<located_service> services;
  bool has_service_list = false;  // Whether `services` could be read as a list.
  located<time_span> header_timeout;
  located<time_span> idle_timeout;
};

// Returns the findings other than kNotReadable. Values that could not be read
// take no part in a check.
std::vector<state_finding> CheckState(const located_state& state);

}  // namespace papayakeel

#endif  // SERVERS_ROUTING_STATE_CHECK_H_
