// Command line of the server stand-in.
#include <popt.h>

#include <cstdio>
#include <string>

#include "core/network_address.h"
#include "drivers/event_loop.h"
#include "drivers/popt_string.h"
#include "misc/stand_ins/server/server_stand_in.h"

int main(int argument_count, const char** arguments) {
  char* listen_option = nullptr;
  int slots = 2;
  int work_ms = 20;
  int cold_ms = 0;
  int connection_limit = 220;
  int has_exponential_work = 0;
  int seed = 1;
  const poptOption options[] = {
      {"listen", 'l', POPT_ARG_STRING, &listen_option, 0,
       "Address to listen on", "HOST:PORT"},
      {"slots", 0, POPT_ARG_INT, &slots, 0, "Calls run at the same time", "N"},
      {"work-ms", 0, POPT_ARG_INT, &work_ms, 0, "Time that a call takes", "MS"},
      {"exponential", 0, POPT_ARG_NONE, &has_exponential_work, 0,
       "Draw work times from an exponential distribution", nullptr},
      {"cold-ms", 0, POPT_ARG_INT, &cold_ms, 0,
       "Run at a third of the speed for this long after the start", "MS"},
      {"connection-limit", 0, POPT_ARG_INT, &connection_limit, 0,
       "Connections accepted at the same time", "N"},
      {"seed", 0, POPT_ARG_INT, &seed, 0, "Seed of the work times", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("server_stand_in", argument_count, arguments, options, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  const std::string listen = papayakeel::TakePoptString(listen_option);
  if (parsed < -1 || listen.empty()) {
    std::fputs("server_stand_in: --listen HOST:PORT is required\n", stderr);
    return 2;
  }
  const tl::expected<papayakeel::network_address,
                     papayakeel::address_error_code>
      address = papayakeel::network_address::Parse(listen);
  if (!address)
    return 2;
  papayakeel::server_stand_in_settings settings;
  settings.listen = *address;
  settings.slots = slots;
  settings.work_time = std::chrono::milliseconds(work_ms);
  settings.cold_time = std::chrono::milliseconds(cold_ms);
  settings.connection_limit = static_cast<std::size_t>(connection_limit);
  settings.has_exponential_work = has_exponential_work != 0;
  settings.seed = static_cast<std::uint64_t>(seed);
  papayakeel::event_loop loop;
  papayakeel::server_stand_in server(loop.context(), settings);
  if (!server.Listen())
    return 1;
  loop.HandleSignals(
      [&loop, &server] { server.Drain([&loop] { loop.Quit(); }); });
  loop.Run();
  return 0;
}
