// Text and JSON forms of findings.
#include "main/client/state_findings.h"

#include <algorithm>

namespace papayakeel {

namespace {

const char* Severity(const state_finding& finding) {
  return finding.is_error() ? "error" : "warning";
}

}  // namespace

bool HasErrors(const std::vector<state_finding>& findings) {
  return std::any_of(findings.begin(), findings.end(),
                     [](const state_finding& each) { return each.is_error(); });
}

void PrintFindings(const std::string& path,
                   const std::vector<state_finding>& findings,
                   const client_output& output) {
  for (const state_finding& each : findings) {
    output.error << path << ": " << Severity(each) << ": ";
    if (!each.location.empty())
      output.error << each.location << ": ";
    output.error << each.message << "\n";
  }
}

nlohmann::json FindingsToJson(const std::vector<state_finding>& findings) {
  nlohmann::json list = nlohmann::json::array();
  for (const state_finding& each : findings) {
    nlohmann::json finding = {{"severity", Severity(each)},
                              {"code", ToString(each.reason)},
                              {"location", each.location},
                              {"message", each.message}};
    if (!each.shadowed_by.empty())
      finding["shadowed_by"] = each.shadowed_by;
    list.push_back(std::move(finding));
  }
  return list;
}

int FailUnreadable(const file_error& failure, const client_output& output) {
  output.error << "papayakeelctl: " << failure.ToString() << "\n";
  return kExitNegative;
}

}  // namespace papayakeel
