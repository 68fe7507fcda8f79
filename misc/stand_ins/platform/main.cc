// Stand-in for the platform: a configuration service that can be read and
// watched, and a list of VMs. The operator's side (/admin) exists only here:
// it publishes values and switches faults.
#include <popt.h>

#include <cstdio>
#include <string>

#include "core/network_address.h"
#include "drivers/event_loop.h"
#include "drivers/popt_string.h"
#include "misc/stand_ins/platform/platform_stand_in.h"

int main(int argument_count, const char** arguments) {
  char* listen_option = nullptr;
  const poptOption options[] = {{"listen", 'l', POPT_ARG_STRING, &listen_option,
                                 0, "Address to listen on", "HOST:PORT"},
                                POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("platform_stand_in", argument_count,
                                       arguments, options, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  const std::string listen = papayakeel::TakePoptString(listen_option);
  if (parsed < -1 || listen.empty()) {
    std::fputs("platform_stand_in: --listen HOST:PORT is required\n", stderr);
    return 2;
  }
  const tl::expected<papayakeel::network_address,
                     papayakeel::address_error_code>
      address = papayakeel::network_address::Parse(listen);
  if (!address)
    return 2;
  papayakeel::event_loop loop;
  papayakeel::platform_stand_in platform(loop.context(), *address);
  if (!platform.Listen())
    return 1;
  loop.HandleSignals([&loop] { loop.Quit(); });
  loop.Run();
  return 0;
}
