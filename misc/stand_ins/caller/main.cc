// Command line of the load tool.
#include <popt.h>

#include <cstdio>
#include <string>

#include "drivers/event_loop.h"
#include "drivers/popt_string.h"
#include "misc/stand_ins/caller/load_generator.h"

int main(int argument_count, const char** arguments) {
  papayakeel::load_settings settings;
  char* address = nullptr;
  char* service_name = nullptr;
  char* method = nullptr;
  char* target = nullptr;
  double rate = 100;
  int duration_ms = 5000;
  int deadline_ms = 2000;
  int seed = 1;
  int is_direct = 0;
  int is_once_only = 0;
  enum { kAddressOption = 1 };
  const poptOption options[] = {
      {"address", 'a', POPT_ARG_STRING, &address, kAddressOption,
       "Entry VM to ask, or with --direct a server; repeatable", "HOST:PORT"},
      {"service", 0, POPT_ARG_STRING, &service_name, 0, "Service to call",
       "NAME"},
      {"method", 0, POPT_ARG_STRING, &method, 0, "Method (GET)", "METHOD"},
      {"target", 0, POPT_ARG_STRING, &target, 0, "Path (/lookup)", "PATH"},
      {"rate", 0, POPT_ARG_DOUBLE, &rate, 0, "Calls a second", "N"},
      {"duration-ms", 0, POPT_ARG_INT, &duration_ms, 0, "Length of the load",
       "MS"},
      {"deadline-ms", 0, POPT_ARG_INT, &deadline_ms, 0, "Patience of a call",
       "MS"},
      {"seed", 0, POPT_ARG_INT, &seed, 0, "Seed of the schedule", "N"},
      {"direct", 0, POPT_ARG_NONE, &is_direct, 0,
       "Call the servers themselves, as the baseline", nullptr},
      {"once-only", 0, POPT_ARG_NONE, &is_once_only, 0,
       "Send an operation key with each call", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("caller_load", argument_count, arguments, options, 0);
  int parsed = 0;
  while ((parsed = poptGetNextOpt(context)) > 0) {
    const tl::expected<papayakeel::network_address,
                       papayakeel::address_error_code>
        read = papayakeel::network_address::Parse(
            papayakeel::TakePoptString(address));
    if (!read) {
      std::fputs("caller_load: bad address; HOST:PORT is required\n", stderr);
      return 2;
    }
    settings.addresses.push_back(*read);
  }
  poptFreeContext(context);
  if (parsed < -1 || settings.addresses.empty()) {
    std::fputs("caller_load: --address HOST:PORT is required; see --help\n",
               stderr);
    return 2;
  }
  settings.is_direct = is_direct != 0;
  settings.is_once_only = is_once_only != 0;
  settings.service = papayakeel::TakePoptString(service_name);
  if (method != nullptr)
    settings.method = papayakeel::TakePoptString(method);
  if (target != nullptr)
    settings.target = papayakeel::TakePoptString(target);
  settings.calls_per_second = rate;
  settings.duration = std::chrono::milliseconds(duration_ms);
  settings.deadline = std::chrono::milliseconds(deadline_ms);
  settings.seed = static_cast<std::uint64_t>(seed);
  papayakeel::event_loop loop;
  papayakeel::load_generator load(loop.context(), settings);
  load.Start([&loop](const papayakeel::load_result& result) {
    std::puts(result.ToJson().dump().c_str());
    loop.Quit();
  });
  loop.HandleSignals([&loop] { loop.Quit(); });
  loop.Run();
  return 0;
}
