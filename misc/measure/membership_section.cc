// Sizes and loads of the membership section.
#include "misc/measure/membership_section.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <vector>

#include "misc/measure/membership_fleet.h"

namespace papayakeel {

namespace {

constexpr int kMeasuredSeconds = 60;
constexpr int kSpreads = 100;
constexpr std::size_t kDeaths = 15;

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

void WriteRate(std::FILE* output,
               const char* load,
               const membership_fleet& fleet,
               double processor_seconds) {
  const double member_seconds =
      static_cast<double>(fleet.size()) * kMeasuredSeconds;
  std::fprintf(output,
               "membership members=%zu load=%s messages_per_second=%.2f "
               "bytes_per_second=%.0f bundle_bytes_per_second=%.0f "
               "processor_us_per_second=%.0f refutations=%llu\n",
               fleet.size(), load,
               static_cast<double>(fleet.messages()) / member_seconds,
               static_cast<double>(fleet.bytes()) / member_seconds,
               static_cast<double>(fleet.bundle_bytes()) / member_seconds,
               processor_seconds * 1e6 / member_seconds,
               static_cast<unsigned long long>(fleet.refutations()));
}

void WriteTimes(std::FILE* output,
                const char* event,
                std::size_t members,
                std::vector<double> milliseconds) {
  std::sort(milliseconds.begin(), milliseconds.end());
  std::fprintf(output,
               "membership members=%zu event=%s count=%zu p50_ms=%.0f "
               "max_ms=%.0f\n",
               members, event, milliseconds.size(),
               milliseconds[milliseconds.size() / 2], milliseconds.back());
}

void MeasureSize(std::FILE* output, std::size_t size, std::uint64_t seed) {
  const std::size_t heap_before = mallinfo2().uordblks;
  membership_fleet fleet(size, seed);
  const time_span settled = fleet.RunUntilQuiet(std::chrono::minutes(10));
  const std::size_t heap = mallinfo2().uordblks - heap_before;
  fleet.ResetCounts();
  const double quiet_start = ProcessorSeconds();
  fleet.RunFor(std::chrono::seconds(kMeasuredSeconds));
  WriteRate(output, "quiet", fleet, ProcessorSeconds() - quiet_start);
  std::fprintf(output,
               "membership members=%zu settled_s=%.0f heap_kb_per_member=%.1f "
               "full_mesh_bytes_per_second=%zu\n",
               size, ToMilliseconds(settled) / 1000,
               static_cast<double>(heap) / 1024 / static_cast<double>(size),
               (size - 1) * membership_fleet::PlainMessageBytes());

  fleet.ResetCounts();
  const double busy_start = ProcessorSeconds();
  for (std::size_t second = 0; second < kMeasuredSeconds; ++second) {
    fleet.ChangeBundle(second * 7 % size);
    fleet.RunFor(std::chrono::seconds(1));
  }
  WriteRate(output, "bundle_change_each_second", fleet,
            ProcessorSeconds() - busy_start);

  std::vector<double> spreads;
  for (std::size_t spread = 0; spread < kSpreads; ++spread) {
    fleet.ChangeBundle(spread * 7 % size);
    spreads.push_back(ToMilliseconds(
        fleet.RunUntilBundleIsEverywhere(std::chrono::minutes(1))));
  }
  WriteTimes(output, "bundle_everywhere", size, spreads);

  std::vector<double> deaths;
  for (std::size_t death = 0; death < kDeaths; ++death) {
    deaths.push_back(ToMilliseconds(fleet.RunUntilDeathIsKnown(
        2 + death * 5 % (size - 2), std::chrono::minutes(5))));
    fleet.RunUntilQuiet(std::chrono::seconds(60));
  }
  WriteTimes(output, "death_known_everywhere", size, deaths);
}

}  // namespace

void MeasureMembership(std::FILE* output, std::uint64_t seed) {
  for (const std::size_t size : {15, 60, 120, 240})
    MeasureSize(output, size, seed);
}

}  // namespace papayakeel
