// Parsing and summarising of bundles.
#include "main/client/bundle_file.h"

#include "servers/bundles/bundle_content.h"
#include "servers/bundles/bundle_envelope.h"
#include "servers/bundles/bundle_parser.h"

namespace papayakeel {

tl::expected<bundle, std::vector<bundle_error>> ReadAnyBundle(
    std::string_view content) {
  const tl::expected<bundle_envelope, bundle_error> envelope =
      bundle_envelope::Decode(content);
  if (envelope)
    return ParseBundleContent(envelope->content);
  if (envelope.error().code == bundle_error_code::kUnsigned)
    return ParseBundle(content);
  return tl::unexpected(std::vector<bundle_error>{envelope.error()});
}

void PrintProblems(const std::string& path,
                   const std::vector<bundle_error>& errors,
                   const client_output& output) {
  for (const bundle_error& each : errors) {
    output.error << path << ":" << each.line << ": " << ToString(each.code)
                 << ": " << each.key << (each.key.empty() ? "" : ": ")
                 << each.detail << "\n";
  }
}

nlohmann::json ProblemsToJson(const std::vector<bundle_error>& errors) {
  nlohmann::json list = nlohmann::json::array();
  for (const bundle_error& each : errors) {
    list.push_back({{"line", each.line},
                    {"code", ToString(each.code)},
                    {"key", each.key},
                    {"detail", each.detail}});
  }
  return list;
}

nlohmann::json DescribeBundle(const bundle& checked) {
  std::size_t classes = 0;
  for (const service_definition& each : checked.services)
    classes += each.classes.size();
  return {
      {"deployment", checked.deployment},
      {"version", checked.version},
      {"content_hash", ToHex(HashBundleContent(MakeBundleContent(checked)))},
      {"services", checked.services.size()},
      {"classes", classes}};
}

void PrintMembers(const nlohmann::json& object, const client_output& output) {
  std::vector<std::vector<std::string>> rows;
  Flatten(object, "", rows);
  output.PrintTable(rows);
}

}  // namespace papayakeel
