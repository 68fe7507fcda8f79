// Sends POST /bundle to several processes.
#include "main/client/rollout_push_command.h"

#include "main/client/bundle_file.h"
#include "main/client/client_files.h"
#include "main/client/process_list.h"
#include "servers/bundles/bundle_envelope.h"

namespace papayakeel {

namespace {

bool IsInForce(const process_reply& reply) {
  return reply.is_ok() && reply.body.is_object() &&
         reply.body.value("in_force", nlohmann::json()) == nlohmann::json(true);
}

// Returns whether the bundle was in force before the request.
bool WasAlreadyInForce(const process_reply& reply) {
  return reply.body.value("changed", nlohmann::json()) == nlohmann::json(false);
}

std::string DescribeResult(const process_reply& reply) {
  if (IsInForce(reply))
    return WasAlreadyInForce(reply) ? "was in force already" : "in force";
  return reply.is_ok() ? "not in force" : reply.Describe();
}

}  // namespace

int RunRolloutPush(const std::vector<std::string>& arguments,
                   const client_output& output) {
  command_line line("rollout push", "FILE");
  process_list processes;
  bool is_json = false;
  processes.AddOptions(line);
  line.AddFlag("json", &is_json, "Print JSON");
  std::optional<int> status = line.Parse(arguments, output);
  if (status)
    return *status;
  if (line.operands().empty())
    return output.FailUsage("rollout push: a FILE is required");
  const std::string& path = line.operands().front();
  status = processes.Read(line, 1, output);
  if (status)
    return *status;
  const tl::expected<std::string, file_error> published = ReadFile(path);
  if (!published)
    return output.FailUsage(published.error().ToString());
  const tl::expected<bundle_envelope, bundle_error> envelope =
      bundle_envelope::Decode(*published);
  if (!envelope) {
    PrintProblems(path, {envelope.error()}, output);
    return kExitUsage;
  }
  const std::vector<process_reply> replies =
      processes.SendToAll(http::verb::post, "/bundle", *published);
  bool is_in_force_everywhere = true;
  std::vector<std::vector<std::string>> rows = {{"ADDRESS", "RESULT"}};
  nlohmann::json list = nlohmann::json::array();
  for (const process_reply& each : replies) {
    rows.push_back({each.address.ToString(), DescribeResult(each)});
    if (each.is_ok()) {
      nlohmann::json entry = each.body;
      entry["address"] = each.address.ToString();
      list.push_back(std::move(entry));
    } else {
      list.push_back(each.ErrorToJson());
    }
    is_in_force_everywhere = is_in_force_everywhere && IsInForce(each);
  }
  if (is_json)
    output.PrintJson({{"version", envelope->version}, {"processes", list}});
  else
    output.PrintTable(rows);
  return is_in_force_everywhere ? kExitOk : kExitNegative;
}

}  // namespace papayakeel
