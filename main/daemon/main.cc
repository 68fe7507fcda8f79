// Entry point and command line of papayakeeld.
#include <popt.h>
#include <sodium.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include "drivers/logging.h"
#include "drivers/popt_string.h"
#include "main/daemon/daemon.h"
#include "main/daemon/entry_daemon.h"
#include "platform/platform_contracts.h"
#include "platform/platform_settings.h"
#include "servers/settings/settings_parser.h"

namespace {

constexpr int kExitUsage = 2;
constexpr char kVersion[] = "papayakeeld 0.1.0";

using papayakeel::process_settings;
using papayakeel::settings_error;
using papayakeel::settings_error_code;

// Returns the content of the file, or std::nullopt when it cannot be read.
std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return std::nullopt;
  return std::string((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
}

tl::expected<process_settings, std::vector<settings_error>> LoadSettings(
    const std::string& path) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    return tl::unexpected(std::vector<settings_error>{
        {settings_error_code::kUnreadable, path, 0, "", "cannot be read"}});
  }
  return papayakeel::ParseSettings(*text, path);
}

void PrintErrors(const std::vector<settings_error>& errors) {
  for (const settings_error& error : errors) {
    std::fprintf(stderr, "%s:%d: %s: %s: %s\n", error.file.c_str(), error.line,
                 papayakeel::ToString(error.code), error.key.c_str(),
                 error.detail.c_str());
  }
}

// Reads the platform's settings. On an error, prints it to standard error and
// returns std::nullopt.
std::optional<papayakeel::entry_settings> LoadPlatformSettings(
    const std::string& path) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    std::fprintf(stderr, "%s: cannot be read\n", path.c_str());
    return std::nullopt;
  }
  const tl::expected<papayakeel::entry_settings,
                     papayakeel::platform::platform_settings_error>
      settings = papayakeel::platform::ReadPlatformSettings(*text);
  if (settings)
    return *settings;
  std::fprintf(stderr, "%s: %s: %s '%s'\n", path.c_str(),
               papayakeel::platform::ToString(settings.error().code),
               settings.error().field.c_str(), settings.error().value.c_str());
  return std::nullopt;
}

// Runs with the platform's settings file and returns the exit status. If
// `check_path` is not empty, only checks the settings file at that path.
int RunOnPlatform(const std::string& check_path) {
  std::string path = check_path;
  if (path.empty()) {
    const char* named = std::getenv(papayakeel::platform::kSettingsVariable);
    path = named != nullptr ? named : "";
  }
  const std::optional<papayakeel::entry_settings> settings =
      LoadPlatformSettings(path);
  if (!settings)
    return kExitUsage;
  if (!check_path.empty()) {
    std::printf("%s: ok\n", check_path.c_str());
    return 0;
  }
  if (sodium_init() < 0)
    return 1;
  papayakeel::InitializeLogging("info");
  papayakeel::entry_platform platform;
  platform.store = papayakeel::platform::MakeStoreContract();
  platform.callers = papayakeel::platform::MakeCallerContract();
  platform.reload = [path] { return LoadPlatformSettings(path); };
  return papayakeel::entry_daemon(*settings, platform).Run();
}

}  // namespace

int main(int argument_count, const char** arguments) {
  char* settings_option = nullptr;
  char* check_option = nullptr;
  int show_version = 0;
  int use_platform = 0;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &settings_option, 0,
       "Run with the settings in FILE", "FILE"},
      {"check-settings", 'c', POPT_ARG_STRING, &check_option, 0,
       "Check the settings in FILE, list every problem, and exit", "FILE"},
      {"platform", 'p', POPT_ARG_NONE, &use_platform, 0,
       "Run with the settings file that the platform names in the environment",
       nullptr},
      {"version", 'V', POPT_ARG_NONE, &show_version, 0,
       "Print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("papayakeeld", argument_count, arguments, options, 0);
  const int parsed = poptGetNextOpt(context);
  const std::string settings_path = papayakeel::TakePoptString(settings_option);
  const std::string check_path = papayakeel::TakePoptString(check_option);
  const bool has_extra = poptPeekArg(context) != nullptr;
  if (parsed < -1 || has_extra) {
    std::fprintf(stderr, "papayakeeld: %s: %s\n",
                 has_extra ? poptPeekArg(context)
                           : poptBadOption(context, POPT_BADOPTION_NOALIAS),
                 has_extra ? "unexpected argument" : poptStrerror(parsed));
    poptFreeContext(context);
    return kExitUsage;
  }
  poptFreeContext(context);
  if (show_version != 0) {
    std::puts(kVersion);
    return 0;
  }
  if (use_platform != 0)
    return RunOnPlatform(check_path);
  const std::string& path = check_path.empty() ? settings_path : check_path;
  if (path.empty()) {
    std::fputs("papayakeeld: --settings FILE is required; see --help\n",
               stderr);
    return kExitUsage;
  }
  const tl::expected<process_settings, std::vector<settings_error>> settings =
      LoadSettings(path);
  if (!settings) {
    PrintErrors(settings.error());
    return kExitUsage;
  }
  if (!check_path.empty()) {
    std::printf("%s: ok\n", check_path.c_str());
    return 0;
  }
  if (sodium_init() < 0)
    return 1;
  papayakeel::InitializeLogging(settings->log_level);
  return papayakeel::daemon(*settings).Run();
}
