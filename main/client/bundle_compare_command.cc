// Comparison of two bundles.
#include "main/client/bundle_compare_command.h"

#include <map>
#include <set>

#include "main/client/bundle_file.h"
#include "main/client/client_files.h"
#include "main/client/command_line.h"
#include "servers/bundles/bundle_content.h"

namespace papayakeel {

namespace {

// Values by dotted key.
using flat_bundle = std::map<std::string, std::string>;

std::string NamesToJson(const nlohmann::json& tables) {
  nlohmann::json names = nlohmann::json::array();
  for (const nlohmann::json& each : tables)
    names.push_back(each["name"]);
  return names.dump();
}

flat_bundle FlattenBundle(const bundle& checked) {
  const nlohmann::json content =
      nlohmann::json::parse(MakeBundleContent(checked));
  std::vector<std::vector<std::string>> rows;
  Flatten(content, "", rows);
  flat_bundle flat;
  for (const std::vector<std::string>& row : rows)
    flat[row[0]] = row[1];
  // The order of the classes is compared too, because a request belongs to the
  // first class that matches it.
  for (const nlohmann::json& each : content["service"]) {
    flat["service." + each["name"].get<std::string>() + ".class"] =
        NamesToJson(each["class"]);
  }
  return flat;
}

const std::string* Find(const flat_bundle& flat, const std::string& key) {
  const auto found = flat.find(key);
  return found == flat.end() ? nullptr : &found->second;
}

nlohmann::json ToJson(const std::string* value) {
  return value == nullptr ? nlohmann::json() : nlohmann::json(*value);
}

}  // namespace

int RunBundleCompare(const std::vector<std::string>& arguments,
                     const client_output& output) {
  command_line line("bundle compare", "FILE FILE");
  bool is_json = false;
  line.AddFlag("json", &is_json, "Print JSON");
  const std::optional<int> status = line.Parse(arguments, output);
  if (status)
    return *status;
  if (line.operands().size() != 2)
    return output.FailUsage("bundle compare: exactly two FILEs are required");
  std::vector<flat_bundle> sides;
  for (const std::string& path : line.operands()) {
    const tl::expected<std::string, file_error> content = ReadFile(path);
    if (!content)
      return output.FailUsage(content.error().ToString());
    const tl::expected<bundle, std::vector<bundle_error>> read =
        ReadAnyBundle(*content);
    if (!read) {
      PrintProblems(path, read.error(), output);
      return kExitUsage;
    }
    sides.push_back(FlattenBundle(*read));
  }
  std::set<std::string> keys;
  for (const flat_bundle& side : sides) {
    for (const auto& [key, value] : side)
      keys.insert(key);
  }
  std::vector<std::vector<std::string>> rows = {{"KEY", "BEFORE", "AFTER"}};
  nlohmann::json differences = nlohmann::json::array();
  for (const std::string& key : keys) {
    const std::string* before = Find(sides[0], key);
    const std::string* after = Find(sides[1], key);
    if (before != nullptr && after != nullptr && *before == *after)
      continue;
    rows.push_back({key, before == nullptr ? "(absent)" : *before,
                    after == nullptr ? "(absent)" : *after});
    differences.push_back(
        {{"key", key}, {"before", ToJson(before)}, {"after", ToJson(after)}});
  }
  const bool is_same = differences.empty();
  if (is_json)
    output.PrintJson({{"same", is_same}, {"differences", differences}});
  else if (is_same)
    output.out << "no difference\n";
  else
    output.PrintTable(rows);
  return is_same ? kExitOk : kExitNegative;
}

}  // namespace papayakeel
