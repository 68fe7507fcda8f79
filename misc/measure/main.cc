// Entry point of papayakeel_measure: runs one section and prints its figures.
#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "misc/measure/bundle_section.h"
#include "misc/measure/dispatch_section.h"
#include "misc/measure/fleet_start_section.h"
#include "misc/measure/membership_section.h"
#include "misc/measure/placement_section.h"
#include "misc/measure/section_registry.h"

namespace {

using papayakeel::measure::measurement;
using papayakeel::measure::section;
using papayakeel::measure::section_registry;

constexpr int kFailed = 1;
constexpr int kBadUsage = 2;

void RegisterSections(section_registry& registry) {
  papayakeel::measure::RegisterBundleSection(registry);
  papayakeel::measure::RegisterDispatchSection(registry);
  papayakeel::measure::RegisterFleetStartSection(registry);
  papayakeel::measure::RegisterMembershipSection(registry);
  papayakeel::measure::RegisterPlacementSection(registry);
}

void Print(const std::string& section_name,
           const measurement& measured,
           bool as_json) {
  if (as_json) {
    nlohmann::ordered_json json = {{"section", section_name},
                                   {"name", measured.name}};
    for (const auto& [size, count] : measured.sizes)
      json[size] = count;
    json["value"] = measured.value;
    json["unit"] = measured.unit;
    std::puts(json.dump().c_str());
    return;
  }
  std::string sizes;
  for (const auto& [size, count] : measured.sizes)
    sizes += size + "=" + std::to_string(static_cast<long>(count)) + " ";
  std::printf("%-32s %-36s %12.4f %s\n", measured.name.c_str(), sizes.c_str(),
              measured.value, measured.unit.c_str());
}

int Run(int argument_count, const char** arguments) {
  char* name_text = nullptr;
  int json = 0;
  int list = 0;
  const poptOption table[] = {{"section", 's', POPT_ARG_STRING, &name_text, 0,
                               "Section to measure, or all", "NAME"},
                              {"json", 'j', POPT_ARG_NONE, &json, 0,
                               "Print one JSON object a line", nullptr},
                              {"list", 0, POPT_ARG_NONE, &list, 0,
                               "Print the names of all sections", nullptr},
                              POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("papayakeel_measure", argument_count, arguments, table, 0),
      poptFreeContext);
  const int status = poptGetNextOpt(context.get());
  const std::unique_ptr<char, decltype(&free)> owned(name_text, free);
  if (status < -1 || poptPeekArg(context.get()) != nullptr) {
    poptPrintUsage(context.get(), stderr, 0);
    return kBadUsage;
  }
  section_registry registry;
  RegisterSections(registry);
  if (list != 0) {
    for (const std::string& name : registry.Names())
      std::puts(name.c_str());
    return 0;
  }
  const std::string wanted = name_text != nullptr ? name_text : "";
  std::vector<std::string> names = {wanted};
  if (wanted == "all")
    names = registry.Names();
  for (const std::string& name : names) {
    const section* found = registry.Find(name);
    if (found == nullptr) {
      std::fprintf(stderr, "papayakeel_measure: unknown section \"%s\"\n",
                   name.c_str());
      return kBadUsage;
    }
    for (const measurement& each : (*found)())
      Print(name, each, json != 0);
  }
  return 0;
}

}  // namespace

int main(int argument_count, const char** arguments) {
  try {
    return Run(argument_count, arguments);
  } catch (const std::exception& failure) {
    std::fprintf(stderr, "papayakeel_measure: %s\n", failure.what());
    return kFailed;
  }
}
