// Measurement of servers/placement at several fleet sizes.
#include "misc/measure/placement_section.h"

#include <string>
#include <utility>

#include "misc/measure/linear_fit.h"
#include "misc/measure/processor_time.h"
#include "servers/placement/entry_placement.h"

namespace papayakeel::measure {

namespace {

constexpr int kTwoHomes = 2;

std::vector<network_address> MakeEntryVms(int count) {
  std::vector<network_address> made;
  made.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    made.push_back({"10.1." + std::to_string(index / 250) + "." +
                        std::to_string(index % 250 + 1),
                    8000});
  }
  return made;
}

std::vector<endpoint_info> MakeEndpoints(int count) {
  std::vector<endpoint_info> made;
  made.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    endpoint_info info;
    info.address = {"10.0." + std::to_string(index / 250) + "." +
                        std::to_string(index % 250 + 1),
                    8080};
    made.push_back(info);
  }
  return made;
}

void MeasureOrder(std::vector<measurement>* measured) {
  std::vector<std::pair<double, double>> points;
  for (const int count : {15, 50, 200, 800}) {
    const std::vector<network_address> entry_vms = MakeEntryVms(count);
    const double time_us = MeasureMicroseconds([&entry_vms] {
      OrderEntryVms("matregister", entry_vms, 1, "10.2.0.1");
    });
    measured->push_back(
        {"order_entry_vms", {{"entry_vms", count}}, time_us, "us"});
    points.emplace_back(count, time_us);
  }
  measured->push_back({"order_entry_vms_per_entry_vm",
                       {},
                       linear_fit::Of(points).slope,
                       "us per entry VM"});
}

void MeasureSelection(std::vector<measurement>* measured) {
  std::vector<std::pair<double, double>> points;
  const std::vector<network_address> entry_vms = MakeEntryVms(15);
  const network_address home =
      OrderEntryVms("matregister", entry_vms, kTwoHomes, "").front();
  for (const int count : {16, 26, 100, 400}) {
    const std::vector<endpoint_info> endpoints = MakeEndpoints(count);
    const double time_us = MeasureMicroseconds([&] {
      SelectEndpoints("matregister", entry_vms, kTwoHomes, home, endpoints);
    });
    measured->push_back(
        {"select_endpoints",
         {{"entry_vms", 15}, {"homes", kTwoHomes}, {"endpoints", count}},
         time_us,
         "us"});
    points.emplace_back(count, time_us);
  }
  measured->push_back({"select_endpoints_per_endpoint",
                       {{"homes", kTwoHomes}},
                       linear_fit::Of(points).slope,
                       "us per endpoint"});
}

std::vector<measurement> MeasurePlacement() {
  std::vector<measurement> measured;
  MeasureOrder(&measured);
  MeasureSelection(&measured);
  return measured;
}

}  // namespace

void RegisterPlacementSection(section_registry& registry) {
  registry.Register("placement", MeasurePlacement);
}

}  // namespace papayakeel::measure
