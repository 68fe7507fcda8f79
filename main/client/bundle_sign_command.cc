// Validation and signing of a bundle.
#include "main/client/bundle_sign_command.h"

#include "main/client/bundle_file.h"
#include "main/client/client_files.h"
#include "main/client/command_line.h"
#include "servers/bundles/bundle_envelope.h"
#include "servers/bundles/bundle_parser.h"
#include "servers/settings/text_rule.h"

namespace papayakeel {

int RunBundleSign(const std::vector<std::string>& arguments,
                  const client_output& output) {
  command_line line("bundle sign", "FILE");
  std::string key_path;
  std::string key_id;
  std::string output_path;
  bool is_json = false;
  line.AddText("key", &key_path, "File with the secret key", "FILE", true);
  line.AddText("key-id", &key_id, "Name of the key", "ID", true);
  line.AddText("output", &output_path, "File for the signed bundle", "FILE",
               true);
  line.AddFlag("json", &is_json, "Print JSON");
  const std::optional<int> status = line.Parse(arguments, output);
  if (status)
    return *status;
  if (line.operands().size() != 1)
    return output.FailUsage("bundle sign: exactly one FILE is required");
  const std::string& path = line.operands().front();
  const tl::expected<std::string, file_error> text = ReadFile(path);
  if (!text)
    return output.FailUsage(text.error().ToString());
  const tl::expected<bundle, std::vector<bundle_error>> checked =
      ParseBundle(*text);
  if (!checked) {
    PrintProblems(path, checked.error(), output);
    return kExitUsage;
  }
  const tl::expected<secret_key_file, file_error> key = ReadSecretKey(key_path);
  if (!key)
    return output.FailUsage(key.error().ToString());
  if (key->id != key_id) {
    return output.FailUsage("--key-id: found " + Quote(key_id) + ", allowed: " +
                            Quote(key->id) + ", the id in the key file");
  }
  const tl::expected<bundle_envelope, bundle_error> envelope =
      SignBundle(*checked, key_id, key->secret);
  if (!envelope) {
    PrintProblems(path, {envelope.error()}, output);
    return kExitUsage;
  }
  const std::string published = envelope->Encode();
  const tl::expected<void, file_error> written =
      ReplaceFile(output_path, published);
  if (!written)
    return output.FailUsage(written.error().ToString());
  nlohmann::json description = DescribeBundle(*checked);
  description["key_id"] = key_id;
  description["bytes"] = published.size();
  description["output"] = output_path;
  if (is_json)
    output.PrintJson(description);
  else
    PrintMembers(description, output);
  return kExitOk;
}

}  // namespace papayakeel
