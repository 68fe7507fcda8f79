// papayakeelctl state: shows the state of processes.
#ifndef MAIN_CLIENT_STATE_COMMAND_H_
#define MAIN_CLIENT_STATE_COMMAND_H_

#include <string>
#include <vector>

#include "main/client/client_output.h"

namespace papayakeel {

// Returns the exit status.
int RunState(const std::vector<std::string>& arguments,
             const client_output& output);

}  // namespace papayakeel

#endif  // MAIN_CLIENT_STATE_COMMAND_H_
