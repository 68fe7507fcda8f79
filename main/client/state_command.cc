// Sends GET /state to several processes and prints the replies.
#include "main/client/state_command.h"

#include "main/client/process_list.h"

namespace papayakeel {

namespace {

// Returns the value at `key` in the "bundles" member of the state, or "-" if it
// is absent or empty.
std::string BundleCell(const nlohmann::json& state, const std::string& key) {
  const nlohmann::json::json_pointer pointer("/bundles/" + key);
  const std::string cell =
      state.contains(pointer) ? ToCell(state[pointer]) : "";
  return cell.empty() ? "-" : cell;
}

std::string Shorten(const std::string& hash) {
  return hash.substr(0, 16);
}

}  // namespace

int RunState(const std::vector<std::string>& arguments,
             const client_output& output) {
  command_line line("state", "");
  process_list processes;
  bool is_json = false;
  bool is_detailed = false;
  processes.AddOptions(line);
  line.AddFlag("details", &is_detailed, "Print every member of the state");
  line.AddFlag("json", &is_json, "Print JSON");
  std::optional<int> status = line.Parse(arguments, output);
  if (!status)
    status = processes.Read(line, 0, output);
  if (status)
    return *status;
  const std::vector<process_reply> replies =
      processes.SendToAll(http::verb::get, "/state", "");
  bool is_complete = true;
  std::vector<std::vector<std::string>> rows = {
      {"ADDRESS", "VERSION", "CONTENT HASH", "KEY", "CONFLICTS",
       "REFUSALS OR ERROR"}};
  nlohmann::json list = nlohmann::json::array();
  for (const process_reply& each : replies) {
    if (!each.is_ok()) {
      is_complete = false;
      rows.push_back(
          {each.address.ToString(), "-", "-", "-", "-", each.Describe()});
      list.push_back(each.ErrorToJson());
      continue;
    }
    rows.push_back({each.address.ToString(), BundleCell(each.body, "version"),
                    Shorten(BundleCell(each.body, "content_hash")),
                    BundleCell(each.body, "key_id"),
                    BundleCell(each.body, "conflicts/count"),
                    BundleCell(each.body, "refusals")});
    list.push_back(
        {{"address", each.address.ToString()}, {"state", each.body}});
  }
  if (is_json) {
    output.PrintJson({{"processes", list}});
  } else if (is_detailed) {
    for (const process_reply& each : replies) {
      std::vector<std::vector<std::string>> members;
      if (each.is_ok())
        Flatten(each.body, "", members);
      else
        members.push_back({each.Describe()});
      output.out << each.address.ToString() << "\n";
      output.PrintTable(members);
    }
  } else {
    output.PrintTable(rows);
  }
  return is_complete ? kExitOk : kExitNegative;
}

}  // namespace papayakeel
