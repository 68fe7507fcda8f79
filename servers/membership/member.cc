// Converts member states to their names.
#include "servers/membership/member.h"

namespace papayakeel {

const char* ToString(member_state state) {
  switch (state) {
    case member_state::kAlive:
      return "alive";
    case member_state::kSuspect:
      return "suspect";
    case member_state::kLeaving:
      return "leaving";
    case member_state::kDead:
      return "dead";
  }
  return "unknown";
}

}  // namespace papayakeel
