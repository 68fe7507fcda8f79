// Generation of a key pair and its files.
#include "main/client/key_generate_command.h"

#include <cstdio>

#include "main/client/client_files.h"
#include "main/client/command_line.h"
#include "servers/bundles/bundle_key.h"
#include "servers/settings/text_rule.h"

namespace papayakeel {

int RunKeyGenerate(const std::vector<std::string>& arguments,
                   const client_output& output) {
  command_line line("key generate", "");
  std::string id;
  std::string secret_path;
  std::string public_path;
  bool is_json = false;
  line.AddText("id", &id, "Name of the key in bundles and settings", "ID",
               true);
  line.AddText("secret-file", &secret_path,
               "New file for the secret key, readable by its owner only",
               "FILE", true);
  line.AddText(
      "public-file", &public_path,
      "New file for the line of the public key in [bundle.trusted_keys]",
      "FILE", true);
  line.AddFlag("json", &is_json, "Print JSON");
  const std::optional<int> status = line.Parse(arguments, output);
  if (status)
    return *status;
  if (!line.operands().empty())
    return output.FailUsage("key generate: unexpected argument");
  if (!NameRule().accepts(id)) {
    return output.FailUsage("--id: found " + Quote(id) +
                            ", allowed: " + NameRule().allowed);
  }
  const secret_key_file key{id, MakeSecretKey()};
  const std::string public_key = KeyToHex(DerivePublicKey(key.secret));
  const std::string public_line = "\"" + id + "\" = \"" + public_key + "\"";
  const tl::expected<void, file_error> secret_written =
      CreateFile(secret_path, FormatSecretKey(key), 0600);
  if (!secret_written)
    return output.FailUsage(secret_written.error().ToString());
  const tl::expected<void, file_error> public_written =
      CreateFile(public_path, public_line + "\n", 0644);
  if (!public_written) {
    // Removes the secret key file, because a retry fails while it exists.
    std::remove(secret_path.c_str());
    return output.FailUsage(public_written.error().ToString());
  }
  if (is_json) {
    output.PrintJson({{"key_id", id},
                      {"public_key", public_key},
                      {"secret_file", secret_path},
                      {"public_file", public_path}});
  } else {
    output.out << public_line << "\n";
  }
  return kExitOk;
}

}  // namespace papayakeel
