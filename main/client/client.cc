// Table of the commands, help text and dispatch.
#include "main/client/client.h"

#include <algorithm>
#include <string_view>

#include "main/client/bundle_check_command.h"
#include "main/client/bundle_compare_command.h"
#include "main/client/bundle_sign_command.h"
#include "main/client/bundle_verify_command.h"
#include "main/client/key_generate_command.h"
#include "main/client/rollout_push_command.h"
#include "main/client/rollout_watch_command.h"
#include "main/client/state_check_command.h"
#include "main/client/state_command.h"
#include "main/client/state_diff_command.h"
#include "main/client/why_command.h"

namespace papayakeel {

namespace {

constexpr std::string_view kVersion = "papayakeelctl 0.1.0";

struct command {
  std::vector<std::string> words;
  std::string_view help;
  int (*run)(const std::vector<std::string>& arguments,
             const client_output& output);
};

const std::vector<command>& Commands() {
  static const std::vector<command> kCommands = {
      {{"key", "generate"}, "generate a key pair", RunKeyGenerate},
      {{"bundle", "check"}, "list every problem of a bundle", RunBundleCheck},
      {{"bundle", "sign"}, "sign a bundle", RunBundleSign},
      {{"bundle", "verify"}, "check a signed bundle", RunBundleVerify},
      {{"bundle", "compare"}, "show differences of bundles", RunBundleCompare},
      // Before "state", because the first match runs.
      {{"state", "check"},
       "list every problem of a desired state",
       RunStateCheck},
      {{"state", "diff"}, "show differences of desired states", RunStateDiff},
      {{"state"}, "show the state of processes", RunState},
      {{"why"}, "show the reasons of processes' decisions", RunWhy},
      {{"rollout", "push"},
       "send a signed bundle to processes",
       RunRolloutPush},
      {{"rollout", "watch"},
       "wait until a bundle is in force",
       RunRolloutWatch},
  };
  return kCommands;
}

void PrintHelp(const client_output& output) {
  output.out << "Usage: papayakeelctl COMMAND [OPTION...]\n\n";
  std::vector<std::vector<std::string>> rows;
  for (const command& each : Commands()) {
    std::string words;
    for (const std::string& word : each.words)
      words += (words.empty() ? "  " : " ") + word;
    rows.push_back({words, std::string(each.help)});
  }
  output.PrintTable(rows);
  output.out << "\n  --help     show this help, or that of a COMMAND\n"
                "  --version  show the version\n\n"
                "Exit status: 0 ok; 1 negative result or a process could "
                "not be reached;\n2 bad usage or bad input.\n";
}

}  // namespace

int RunClient(const std::vector<std::string>& arguments,
              const client_output& output) {
  if (arguments.empty())
    return output.FailUsage("a command is required; see --help");
  if (arguments[0] == "--help" || arguments[0] == "-?") {
    PrintHelp(output);
    return kExitOk;
  }
  if (arguments[0] == "--version") {
    output.out << kVersion << "\n";
    return kExitOk;
  }
  for (const command& each : Commands()) {
    const std::size_t count = each.words.size();
    const bool is_match =
        arguments.size() >= count &&
        std::equal(each.words.begin(), each.words.end(), arguments.begin());
    if (!is_match)
      continue;
    return each.run(std::vector<std::string>(
                        arguments.begin() + static_cast<std::ptrdiff_t>(count),
                        arguments.end()),
                    output);
  }
  return output.FailUsage("unknown command: " + arguments[0] +
                          (arguments.size() > 1 ? " " + arguments[1] : "") +
                          "; see --help");
}

}  // namespace papayakeel
