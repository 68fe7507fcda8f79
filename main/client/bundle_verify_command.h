// papayakeelctl bundle verify: runs the checks of a receiving process on a
// signed bundle, except for those that need the settings of the process.
#ifndef MAIN_CLIENT_BUNDLE_VERIFY_COMMAND_H_
#define MAIN_CLIENT_BUNDLE_VERIFY_COMMAND_H_

#include <string>
#include <vector>

#include "main/client/client_output.h"

namespace papayakeel {

// Returns the exit status.
int RunBundleVerify(const std::vector<std::string>& arguments,
                    const client_output& output);

}  // namespace papayakeel

#endif  // MAIN_CLIENT_BUNDLE_VERIFY_COMMAND_H_
