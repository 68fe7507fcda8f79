// Validation of a bundle in TOML.
#include "main/client/bundle_check_command.h"

#include "main/client/bundle_file.h"
#include "main/client/client_files.h"
#include "main/client/command_line.h"
#include "servers/bundles/bundle_parser.h"

namespace papayakeel {

int RunBundleCheck(const std::vector<std::string>& arguments,
                   const client_output& output) {
  command_line line("bundle check", "FILE");
  bool is_json = false;
  line.AddFlag("json", &is_json, "Print JSON");
  const std::optional<int> status = line.Parse(arguments, output);
  if (status)
    return *status;
  if (line.operands().size() != 1)
    return output.FailUsage("bundle check: exactly one FILE is required");
  const std::string& path = line.operands().front();
  const tl::expected<std::string, file_error> text = ReadFile(path);
  if (!text)
    return output.FailUsage(text.error().ToString());
  const tl::expected<bundle, std::vector<bundle_error>> checked =
      ParseBundle(*text);
  if (!checked) {
    if (is_json) {
      output.PrintJson({{"file", path},
                        {"ok", false},
                        {"problems", ProblemsToJson(checked.error())}});
    } else {
      PrintProblems(path, checked.error(), output);
    }
    return kExitNegative;
  }
  nlohmann::json description = DescribeBundle(*checked);
  if (is_json) {
    description["file"] = path;
    description["ok"] = true;
    output.PrintJson(description);
  } else {
    output.out << path << ": ok\n";
    PrintMembers(description, output);
  }
  return kExitOk;
}

}  // namespace papayakeel
