// Command line of the soak.
#include <popt.h>

#include <cstdio>
#include <cstdlib>

#include <sodium.h>

#include "misc/soak/soak_world.h"

namespace papayakeel::soak {

namespace {

int RunOnce(std::uint64_t seed, std::uint64_t calls, mutation built_in) {
  std::printf("seed=%llu calls=%llu\n", static_cast<unsigned long long>(seed),
              static_cast<unsigned long long>(calls));
  soak_world world(seed, built_in);
  world.Run(calls);
  bool has_zero = false;
  for (const auto& [name, count] : world.Counts()) {
    std::printf("%s=%llu\n", name.c_str(),
                static_cast<unsigned long long>(count));
    has_zero |= count == 0;
  }
  std::printf(
      "receipts_of_unknowing_entry_vms=%llu\n",
      static_cast<unsigned long long>(world.verdicts().unknowing_receipts()));
  std::printf("virtual_seconds=%.0f\n", world.virtual_seconds());
  const std::optional<violation>& broken = world.verdicts().broken();
  if (broken) {
    std::printf("last events:\n%s", world.trace().ToString().c_str());
    std::printf("violated=I%d seed=%llu detail=%s\n", broken->invariant,
                static_cast<unsigned long long>(seed), broken->detail.c_str());
    return 1;
  }
  if (has_zero) {
    std::printf("failed=zero_count seed=%llu\n",
                static_cast<unsigned long long>(seed));
    return 1;
  }
  std::printf("passed seed=%llu\n", static_cast<unsigned long long>(seed));
  return 0;
}

void ListMutations() {
  for (const mutation_info& each : kMutations)
    std::printf("%s %s %s\n", each.name, each.invariant, each.description);
}

}  // namespace

}  // namespace papayakeel::soak

int main(int argument_count, const char** arguments) {
  long seed = 1;
  long calls = 20000;
  const char* mutation_name = nullptr;
  int lists = 0;
  const poptOption options[] = {
      {"seed", 's', POPT_ARG_LONG, &seed, 0, "Seed of the run", "N"},
      {"calls", 'c', POPT_ARG_LONG, &calls, 0, "Calls to run", "N"},
      {"mutation", 'm', POPT_ARG_STRING, &mutation_name, 0,
       "Builds in a defect; the run must fail", "NAME"},
      {"list-mutations", 0, POPT_ARG_NONE, &lists, 0,
       "Lists name, invariant and meaning of each defect", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("papayakeel_soak", argument_count, arguments, options, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed < -1 || seed < 0 || calls < 1) {
    std::fputs("papayakeel_soak: bad option; see --help\n", stderr);
    return 2;
  }
  if (sodium_init() < 0)
    return 2;
  if (lists != 0) {
    papayakeel::soak::ListMutations();
    return 0;
  }
  papayakeel::soak::mutation built_in = papayakeel::soak::mutation::kNone;
  if (mutation_name != nullptr) {
    const std::optional<papayakeel::soak::mutation> found =
        papayakeel::soak::FindMutation(mutation_name);
    if (!found) {
      std::fputs("papayakeel_soak: no such mutation\n", stderr);
      return 2;
    }
    built_in = *found;
  }
  return papayakeel::soak::RunOnce(static_cast<std::uint64_t>(seed),
                                   static_cast<std::uint64_t>(calls), built_in);
}
