// Check of a desired state.
#include "main/client/state_check_command.h"

#include "main/client/client_files.h"
#include "main/client/command_line.h"
#include "main/client/state_findings.h"
#include "platform/entry_codec.h"

namespace papayakeel {

int RunStateCheck(const std::vector<std::string>& arguments,
                  const client_output& output) {
  command_line line("state check", "FILE");
  bool is_json = false;
  line.AddFlag("json", &is_json, "Print JSON");
  const std::optional<int> status = line.Parse(arguments, output);
  if (status)
    return *status;
  if (line.operands().size() != 1)
    return output.FailUsage("state check: exactly one FILE is required");
  const std::string& path = line.operands().front();
  const tl::expected<std::string, file_error> content = ReadFile(path);
  if (!content)
    return FailUnreadable(content.error(), output);
  const std::vector<state_finding> findings =
      platform::CheckDesiredState(*content);
  const bool is_ok = !HasErrors(findings);
  if (is_json) {
    output.PrintJson({{"file", path},
                      {"ok", is_ok},
                      {"findings", FindingsToJson(findings)}});
  } else {
    PrintFindings(path, findings, output);
    if (is_ok)
      output.out << path << ": ok\n";
  }
  return is_ok ? kExitOk : kExitUsage;
}

}  // namespace papayakeel
