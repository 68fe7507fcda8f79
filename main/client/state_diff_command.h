// papayakeelctl state diff: shows the differences between two desired states.
#ifndef MAIN_CLIENT_STATE_DIFF_COMMAND_H_
#define MAIN_CLIENT_STATE_DIFF_COMMAND_H_

#include <string>
#include <vector>

#include "main/client/client_output.h"

namespace papayakeel {

// Returns the exit status: kExitOk also if there are differences, kExitUsage if
// a state is invalid or the new version is not higher, kExitNegative if a file
// cannot be read.
int RunStateDiff(const std::vector<std::string>& arguments,
                 const client_output& output);

}  // namespace papayakeel

#endif  // MAIN_CLIENT_STATE_DIFF_COMMAND_H_
