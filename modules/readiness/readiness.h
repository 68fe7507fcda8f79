// Whether the process is ready to serve calls, and the reason if not.
#ifndef MODULES_READINESS_READINESS_H_
#define MODULES_READINESS_READINESS_H_

#include <string>

namespace papayakeel {

struct readiness {
  bool is_ready = false;
  std::string reason;  // Human-readable; "ready" if `is_ready`.
};

}  // namespace papayakeel

#endif  // MODULES_READINESS_READINESS_H_
