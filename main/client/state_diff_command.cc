// Comparison of two desired states.
#include "main/client/state_diff_command.h"

#include <utility>

#include "main/client/client_files.h"
#include "main/client/command_line.h"
#include "main/client/state_findings.h"
#include "platform/entry_codec.h"

namespace papayakeel {

namespace {

std::string ToText(const std::optional<std::string>& value) {
  return value.value_or("(absent)");
}

nlohmann::json ToJson(const std::optional<std::string>& value) {
  return value ? nlohmann::json(*value) : nlohmann::json();
}

nlohmann::json ToJson(const std::vector<field_difference>& fields) {
  nlohmann::json list = nlohmann::json::array();
  for (const field_difference& each : fields) {
    list.push_back({{"field", each.field},
                    {"before", ToJson(each.before)},
                    {"after", ToJson(each.after)}});
  }
  return list;
}

nlohmann::json ToJson(const std::vector<entry_difference>& entries) {
  nlohmann::json list = nlohmann::json::array();
  for (const entry_difference& each : entries) {
    list.push_back({{"name", each.name},
                    {"change", ToString(each.change)},
                    {"fields", ToJson(each.fields)}});
  }
  return list;
}

void PrintEntries(const std::string& type,
                  const std::vector<entry_difference>& entries,
                  const client_output& output) {
  for (const entry_difference& each : entries) {
    output.out << type << " " << each.name << ": " << ToString(each.change)
               << "\n";
    for (const field_difference& field : each.fields) {
      output.out << "  " << field.field << ": " << ToText(field.before)
                 << " -> " << ToText(field.after) << "\n";
    }
  }
}

void PrintDifference(const state_difference& difference,
                     const client_output& output) {
  output.out << "version: " << difference.version_before << " -> "
             << difference.version_after << "\n";
  PrintEntries("route", difference.routes, output);
  PrintEntries("service", difference.services, output);
  for (const field_difference& each : difference.limits) {
    output.out << "limits." << each.field << ": " << ToText(each.before)
               << " -> " << ToText(each.after) << "\n";
  }
  if (!difference.has_changes())
    output.out << "no difference besides the version\n";
}

}  // namespace

int RunStateDiff(const std::vector<std::string>& arguments,
                 const client_output& output) {
  command_line line("state diff", "OLD NEW");
  bool is_json = false;
  line.AddFlag("json", &is_json, "Print JSON");
  const std::optional<int> status = line.Parse(arguments, output);
  if (status)
    return *status;
  if (line.operands().size() != 2)
    return output.FailUsage("state diff: exactly two FILEs are required");
  std::vector<std::string> contents;
  for (const std::string& path : line.operands()) {
    const tl::expected<std::string, file_error> content = ReadFile(path);
    if (!content)
      return FailUnreadable(content.error(), output);
    contents.push_back(*content);
  }
  std::vector<described_state> states;
  nlohmann::json problems = nlohmann::json::array();
  for (std::size_t i = 0; i < contents.size(); ++i) {
    tl::expected<described_state, std::vector<state_finding>> described =
        platform::DescribeDesiredState(contents[i]);
    if (described) {
      states.push_back(*std::move(described));
      continue;
    }
    const std::string& path = line.operands()[i];
    problems.push_back(
        {{"file", path}, {"findings", FindingsToJson(described.error())}});
    if (!is_json)
      PrintFindings(path, described.error(), output);
  }
  if (!problems.empty()) {
    if (is_json)
      output.PrintJson({{"ok", false}, {"problems", problems}});
    return kExitUsage;
  }
  const state_difference difference = CompareStates(states[0], states[1]);
  const bool is_ok = difference.is_version_higher();
  if (is_json) {
    output.PrintJson({{"ok", is_ok},
                      {"same", !difference.has_changes()},
                      {"version",
                       {{"before", difference.version_before},
                        {"after", difference.version_after},
                        {"higher", is_ok}}},
                      {"routes", ToJson(difference.routes)},
                      {"services", ToJson(difference.services)},
                      {"limits", ToJson(difference.limits)}});
  } else {
    PrintDifference(difference, output);
    if (!is_ok) {
      output.error << line.operands()[1]
                   << ": error: version: is not higher, so the state would be "
                      "ignored\n";
    }
  }
  return is_ok ? kExitOk : kExitUsage;
}

}  // namespace papayakeel
