// papayakeelctl why: shows the reasons for the decisions of processes about a
// service.
#ifndef MAIN_CLIENT_WHY_COMMAND_H_
#define MAIN_CLIENT_WHY_COMMAND_H_

#include <string>
#include <vector>

#include "main/client/client_output.h"

namespace papayakeel {

// Returns the exit status.
int RunWhy(const std::vector<std::string>& arguments,
           const client_output& output);

}  // namespace papayakeel

#endif  // MAIN_CLIENT_WHY_COMMAND_H_
