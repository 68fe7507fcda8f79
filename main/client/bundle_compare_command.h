// papayakeelctl bundle compare: lists the differences between two bundles by
// dotted key.
#ifndef MAIN_CLIENT_BUNDLE_COMPARE_COMMAND_H_
#define MAIN_CLIENT_BUNDLE_COMPARE_COMMAND_H_

#include <string>
#include <vector>

#include "main/client/client_output.h"

namespace papayakeel {

// Returns the exit status.
int RunBundleCompare(const std::vector<std::string>& arguments,
                     const client_output& output);

}  // namespace papayakeel

#endif  // MAIN_CLIENT_BUNDLE_COMPARE_COMMAND_H_
