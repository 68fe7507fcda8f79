// Verification of a signed bundle.
#include "main/client/bundle_verify_command.h"

#include "main/client/bundle_file.h"
#include "main/client/client_files.h"
#include "main/client/command_line.h"
#include "servers/bundles/bundle_envelope.h"
#include "servers/bundles/bundle_store.h"
#include "servers/settings/text_rule.h"

namespace papayakeel {

int RunBundleVerify(const std::vector<std::string>& arguments,
                    const client_output& output) {
  command_line line("bundle verify", "FILE");
  std::vector<std::string> trusted;
  bool is_json = false;
  line.AddList("trusted", &trusted, "Trusted key id and public key; repeatable",
               "ID=HEX");
  line.AddFlag("json", &is_json, "Print JSON");
  const std::optional<int> status = line.Parse(arguments, output);
  if (status)
    return *status;
  if (line.operands().size() != 1)
    return output.FailUsage("bundle verify: exactly one FILE is required");
  if (trusted.empty())
    return output.FailUsage("bundle verify: --trusted is required");
  bundle_trust trust;
  for (const std::string& each : trusted) {
    const std::size_t equals = each.find('=');
    const std::string id = each.substr(0, equals);
    const std::optional<bundle_public_key> key =
        equals == std::string::npos ? std::nullopt
                                    : ParseKey(each.substr(equals + 1));
    if (!key || !NameRule().accepts(id)) {
      return output.FailUsage("--trusted: found " + Quote(each) +
                              ", allowed: ID=HEX with 64 hexadecimal digits");
    }
    trust.keys[id] = *key;
  }
  const std::string& path = line.operands().front();
  const tl::expected<std::string, file_error> published = ReadFile(path);
  if (!published)
    return output.FailUsage(published.error().ToString());
  // The deployment is only shown, because this command has no settings to check
  // it against.
  const tl::expected<bundle_envelope, bundle_error> envelope =
      bundle_envelope::Decode(*published);
  if (envelope)
    trust.deployment = envelope->deployment;
  bundle_store store(trust);
  const tl::expected<bool, bundle_error> offered = store.Offer(*published);
  if (!offered) {
    if (is_json) {
      output.PrintJson({{"file", path},
                        {"ok", false},
                        {"problems", ProblemsToJson({offered.error()})}});
    } else {
      PrintProblems(path, {offered.error()}, output);
    }
    return kExitNegative;
  }
  nlohmann::json description = DescribeBundle(*store.current());
  // Shows the hash of the content as it was signed. Another release of
  // papayakeelctl may serialise the same bundle differently.
  description["content_hash"] = ToHex(store.content_hash());
  description["key_id"] = store.key_id();
  description["bytes"] = published->size();
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
