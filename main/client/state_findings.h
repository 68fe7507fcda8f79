// Output of the findings of the commands that read desired states.
#ifndef MAIN_CLIENT_STATE_FINDINGS_H_
#define MAIN_CLIENT_STATE_FINDINGS_H_

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "main/client/client_files.h"
#include "main/client/client_output.h"
#include "servers/routing/state_check.h"

namespace papayakeel {

bool HasErrors(const std::vector<state_finding>& findings);

// Prints one line per finding to the error stream.
void PrintFindings(const std::string& path,
                   const std::vector<state_finding>& findings,
                   const client_output& output);

nlohmann::json FindingsToJson(const std::vector<state_finding>& findings);

// Prints an error message and returns kExitNegative, which distinguishes an
// unreadable file from a file with errors.
int FailUnreadable(const file_error& failure, const client_output& output);

}  // namespace papayakeel

#endif  // MAIN_CLIENT_STATE_FINDINGS_H_
