// Sends GET /why to several processes and prints the replies.
#include "main/client/why_command.h"

#include "main/client/process_list.h"
#include "servers/settings/text_rule.h"

namespace papayakeel {

int RunWhy(const std::vector<std::string>& arguments,
           const client_output& output) {
  command_line line("why", "");
  process_list processes;
  std::string service;
  bool is_json = false;
  processes.AddOptions(line);
  line.AddText("service", &service, "Service to ask about", "NAME", true);
  line.AddFlag("json", &is_json, "Print JSON");
  std::optional<int> status = line.Parse(arguments, output);
  if (!status)
    status = processes.Read(line, 0, output);
  if (status)
    return *status;
  // Names that match this rule need no escaping in a query string.
  if (!LowerCaseNameRule().accepts(service)) {
    return output.FailUsage("--service: found " + Quote(service) +
                            ", allowed: " + LowerCaseNameRule().allowed);
  }
  const std::vector<process_reply> replies =
      processes.SendToAll(http::verb::get, "/why?service=" + service, "");
  bool is_complete = true;
  nlohmann::json list = nlohmann::json::array();
  for (const process_reply& each : replies) {
    std::vector<std::vector<std::string>> rows;
    if (each.is_ok()) {
      Flatten(each.body, "", rows);
      list.push_back(
          {{"address", each.address.ToString()}, {"why", each.body}});
    } else {
      is_complete = false;
      rows.push_back({each.Describe()});
      list.push_back(each.ErrorToJson());
    }
    if (is_json)
      continue;
    output.out << each.address.ToString() << "\n";
    output.PrintTable(rows);
  }
  if (is_json)
    output.PrintJson({{"service", service}, {"processes", list}});
  return is_complete ? kExitOk : kExitNegative;
}

}  // namespace papayakeel
