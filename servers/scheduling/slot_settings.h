// Settings of a slot scheduler. Times and factors that depend on the
// deployment come from the platform's settings; the others are constants of
// the scheduler.
#ifndef SERVERS_SCHEDULING_SLOT_SETTINGS_H_
#define SERVERS_SCHEDULING_SLOT_SETTINGS_H_

#include <string>

#include "servers/scheduling/repeat_window.h"

namespace papayakeel {

struct slot_settings {
  std::string service;
  repeat_window_settings repeats;
  // Status checks that one scheduler may make, for each endpoint and second.
  double probes_per_second = 0;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_SLOT_SETTINGS_H_
