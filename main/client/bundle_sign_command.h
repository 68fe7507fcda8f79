// papayakeelctl bundle sign: converts a bundle in TOML to the signed form.
#ifndef MAIN_CLIENT_BUNDLE_SIGN_COMMAND_H_
#define MAIN_CLIENT_BUNDLE_SIGN_COMMAND_H_

#include <string>
#include <vector>

#include "main/client/client_output.h"

namespace papayakeel {

// Returns the exit status.
int RunBundleSign(const std::vector<std::string>& arguments,
                  const client_output& output);

}  // namespace papayakeel

#endif  // MAIN_CLIENT_BUNDLE_SIGN_COMMAND_H_
