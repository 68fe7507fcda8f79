// A class of requests to a service: which requests belong to it and how they
// are handled.
#ifndef SERVERS_BUNDLES_WORK_CLASS_H_
#define SERVERS_BUNDLES_WORK_CLASS_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace papayakeel {

// Whether a once-only request must carry an idempotency key (operation key).
enum class key_requirement {
  kRequired,
  kOptional,
};

struct work_class {
  std::string name;

  // A request belongs to the first class whose methods (any when empty) and
  // path prefix both match.
  std::vector<std::string> methods;
  std::string path_prefix = "/";

  // True for requests that must run at most once. They are never hedged, and
  // are retried only when they certainly did not run.
  bool once_only = false;
  key_requirement key = key_requirement::kRequired;

  // Time limit from arrival to response. A caller's deadline may shorten it.
  std::chrono::milliseconds patience{2000};

  // Priority from 0 (highest) to 7, like the urgency of RFC 9218.
  int importance = 3;

  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_answer_bytes = 1 << 20;

  // Status codes with which backend servers report that they did not run a
  // request.
  std::vector<int> not_run_statuses;
};

}  // namespace papayakeel

#endif  // SERVERS_BUNDLES_WORK_CLASS_H_
