// Settings of a slot scheduler that depend on the deployment and come from the
// platform settings. Other times and factors are constants of the scheduler.
#ifndef SERVERS_SCHEDULING_SLOT_SETTINGS_H_
#define SERVERS_SCHEDULING_SLOT_SETTINGS_H_

#include <string>

#include "servers/scheduling/repeat_window.h"

namespace papayakeel {

struct slot_settings {
  std::string service;
  repeat_window_settings repeats;
  // Status checks that a scheduler may send to each endpoint per second.
  double probes_per_second = 0;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_SLOT_SETTINGS_H_
