// Command dispatch of papayakeelctl.
#ifndef MAIN_CLIENT_CLIENT_H_
#define MAIN_CLIENT_CLIENT_H_

#include <string>
#include <vector>

#include "main/client/client_output.h"

namespace papayakeel {

// Runs the command given by `arguments`, which do not include the program name.
// Returns the exit status.
int RunClient(const std::vector<std::string>& arguments,
              const client_output& output);

}  // namespace papayakeel

#endif  // MAIN_CLIENT_CLIENT_H_
