// Runs the soak of real processes over a range of seeds and checks the
// invariants of each run. Exit status 1 when one was violated.
#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "tests/platform/soak/fault_soak.h"
#include "tests/platform/soak/soak_checks.h"

namespace {

using papayakeel::time_span;
using papayakeel::platform::call_record;
using papayakeel::platform::fault_record;
using papayakeel::platform::fault_soak;
using papayakeel::platform::soak_record;
using papayakeel::platform::soak_size;

constexpr int kUsageStatus = 2;
// Each VM has a loopback address of its own.
constexpr int kMostVms = 60;

struct soak_options {
  int first_seed = 1;
  int seeds = 1;
  int seconds = 20;
  int vms = 3;
  int endpoints = 5;
  std::string log_directory = "/tmp";
  bool is_verbose = false;
};

// Prints the faults of a run, to trace a violation.
void PrintFaults(const soak_record& record) {
  if (record.faults.empty())
    return;
  const papayakeel::monotonic_time start = record.faults.front().from;
  for (const fault_record& fault : record.faults) {
    std::printf("  %7.0f to %7.0f ms %s %s\n",
                papayakeel::ToMilliseconds(fault.from - start),
                papayakeel::ToMilliseconds(fault.to - start),
                ToString(fault.kind),
                fault.vm ? std::to_string(*fault.vm).c_str() : "");
  }
}

// Plays one seed. Returns whether all invariants held.
bool RunSeed(int seed, const soak_options& options) {
  soak_size size;
  size.length = std::chrono::seconds(options.seconds);
  size.vms = static_cast<std::size_t>(options.vms);
  size.endpoints = static_cast<std::size_t>(options.endpoints);
  fault_soak soak(static_cast<std::uint64_t>(seed), size);
  if (!soak.Start()) {
    std::printf("seed %d: VMs did not become ready\n", seed);
    return false;
  }
  const soak_record record = soak.Run();
  std::vector<std::string> violations = FindViolations(record);
  if (!soak.IsRecovered())
    violations.push_back("not ready again after the last fault");
  int served = 0;
  int refused = 0;
  int unanswered = 0;
  int unconnected = 0;
  for (const call_record& call : record.calls) {
    served += call.status == 200 ? 1 : 0;
    refused += call.status == 503 ? 1 : 0;
    const bool is_connected = call.boot > 0;
    unanswered += call.status == 0 && is_connected ? 1 : 0;
    unconnected += is_connected ? 0 : 1;
  }
  // A run that tried nothing shows nothing.
  if (served == 0 || record.faults.empty())
    violations.push_back("no request served or no fault injected");
  std::printf(
      "seed %d: %zu calls, %d served, %d refused, %d unanswered, "
      "%d without connection, %zu faults, %zu violations\n",
      seed, record.calls.size(), served, refused, unanswered, unconnected,
      record.faults.size(), violations.size());
  for (const std::string& violation : violations)
    std::printf("  %s\n", violation.c_str());
  if (!violations.empty() || options.is_verbose)
    PrintFaults(record);
  if (!violations.empty()) {
    for (std::size_t vm = 0; vm < size.vms; ++vm) {
      const std::string path = options.log_directory + "/papayakeel-soak-" +
                               std::to_string(seed) + "-vm" +
                               std::to_string(vm) + ".log";
      if (std::FILE* file = std::fopen(path.c_str(), "w")) {
        const std::string log = soak.LogOf(vm);
        std::fwrite(log.data(), 1, log.size(), file);
        std::fclose(file);
        std::printf("  log: %s\n", path.c_str());
      }
    }
  }
  std::fflush(stdout);
  return violations.empty();
}

}  // namespace

int main(int argc, const char** argv) {
  soak_options options;
  int is_verbose = 0;
  char* log_directory = nullptr;
  const poptOption table[] = {
      {"seed", 's', POPT_ARG_INT, &options.first_seed, 0, "first seed", "N"},
      {"seeds", 'n', POPT_ARG_INT, &options.seeds, 0, "number of seeds", "N"},
      {"seconds", 't', POPT_ARG_INT, &options.seconds, 0,
       "length of the faults of a run", "S"},
      {"vms", 'm', POPT_ARG_INT, &options.vms, 0, "number of VMs", "N"},
      {"endpoints", 'e', POPT_ARG_INT, &options.endpoints, 0,
       "number of endpoints at the start", "N"},
      {"logs", 'l', POPT_ARG_STRING, &log_directory, 0,
       "where logs of failed runs are kept", "DIRECTORY"},
      {"verbose", 'v', POPT_ARG_NONE, &is_verbose, 0, "print all faults",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext("papayakeel_fault_soak", argc, argv, table, 0),
      poptFreeContext);
  const int status = poptGetNextOpt(context.get());
  const bool is_usable = options.vms > 0 && options.vms <= kMostVms &&
                         options.endpoints > 0 && options.seconds > 0;
  if (status < -1 || poptPeekArg(context.get()) != nullptr || !is_usable) {
    std::fprintf(stderr, "papayakeel_fault_soak: bad usage, see --help\n");
    return kUsageStatus;
  }
  options.is_verbose = is_verbose != 0;
  if (log_directory != nullptr) {
    options.log_directory = log_directory;
    std::free(log_directory);
  }
  int failed = 0;
  for (int index = 0; index < options.seeds; ++index)
    failed += RunSeed(options.first_seed + index, options) ? 0 : 1;
  std::printf("%d of %d seeds failed\n", failed, options.seeds);
  return failed == 0 ? 0 : 1;
}
