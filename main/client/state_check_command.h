// papayakeelctl state check: finds every problem of a desired state.
#ifndef MAIN_CLIENT_STATE_CHECK_COMMAND_H_
#define MAIN_CLIENT_STATE_CHECK_COMMAND_H_

#include <string>
#include <vector>

#include "main/client/client_output.h"

namespace papayakeel {

// Returns the exit status: kExitUsage if a finding is an error, kExitNegative
// if the file cannot be read.
int RunStateCheck(const std::vector<std::string>& arguments,
                  const client_output& output);

}  // namespace papayakeel

#endif  // MAIN_CLIENT_STATE_CHECK_COMMAND_H_
