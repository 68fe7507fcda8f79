// papayakeelctl bundle check: lists all problems of a bundle in TOML.
#ifndef MAIN_CLIENT_BUNDLE_CHECK_COMMAND_H_
#define MAIN_CLIENT_BUNDLE_CHECK_COMMAND_H_

#include <string>
#include <vector>

#include "main/client/client_output.h"

namespace papayakeel {

// Returns the exit status.
int RunBundleCheck(const std::vector<std::string>& arguments,
                   const client_output& output);

}  // namespace papayakeel

#endif  // MAIN_CLIENT_BUNDLE_CHECK_COMMAND_H_
