// Sizes and counts of the fleet start section.
#include "misc/measure/fleet_start_section.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <ctime>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <sodium.h>
#include <nlohmann/json.hpp>

#include "core/service_registry.h"
#include "drivers/event_loop.h"
#include "misc/measure/membership_fleet.h"
#include "misc/measure/processor_time.h"
#include "modules/endpoint_link/endpoint_link.h"
#include "modules/slot_link/slot_link.h"
#include "platform/platform_contracts.h"
#include "servers/discovery/endpoint_registry.h"
#include "servers/discovery/evacuated_zones.h"
#include "servers/membership/entry_directory.h"
#include "servers/placement/duty_placement.h"
#include "servers/routing/desired_state_store.h"

namespace papayakeel::measure {

namespace {

constexpr std::size_t kServices = 4;
constexpr std::size_t kPageSize = 500;
constexpr std::uint64_t kSeed = 1;
constexpr std::chrono::milliseconds kJoinStep{100};
constexpr std::chrono::seconds kStartTime{3};

double ProcessorMs() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 +
         static_cast<double>(time.tv_nsec) * 1e-6;
}

std::string Base64(const std::string& bytes) {
  std::string text(
      sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();
  return text;
}

std::string ServiceName(std::size_t index) {
  return "service-" + std::to_string(index % kServices);
}

// Returns the pages of a listing of `count` endpoints.
std::vector<std::string> MakePages(std::size_t count) {
  std::vector<std::string> pages;
  for (std::size_t first = 0; first < count; first += kPageSize) {
    nlohmann::json items = nlohmann::json::array();
    const std::size_t end = std::min(count, first + kPageSize);
    for (std::size_t index = first; index < end; ++index) {
      const nlohmann::json value = {
          {"address", "10.1." + std::to_string(index / 250) + "." +
                          std::to_string(index % 250) + ":8080"},
          {"born", 1'700'000'000'000 + index},
          {"info",
           {{"service", ServiceName(index)},
            {"version", "v1"},
            {"zone", "zone-" + std::to_string(index % 4)},
            {"slots", 3}}},
          {"status",
           {{"state", "ready"}, {"seq", 17}, {"warmup_left", "0ms"}}}};
      items.push_back({{"key", "servers/i-" + std::to_string(index)},
                       {"value", Base64(value.dump())},
                       {"revision", 10 + index}});
    }
    pages.push_back(nlohmann::json{
        {"items", items}, {"as_of", 99'999}, {"has_more", end < count}}
                        .dump());
  }
  return pages;
}

// The services of an entry VM that take part in a listing, without its network.
class listing_process {
 public:
  listing_process() {
    member self;
    self.peer_address = {"127.0.0.1", 7000};
    settings_.slot_listen = {"127.0.0.1", 7001};
    registry_.Register(std::make_unique<event_loop>());
    registry_.Register(std::make_unique<entry_directory>(self));
    registry_.Register(std::make_unique<desired_state_store>());
    registry_.Register(std::make_unique<endpoint_registry>());
    registry_.Register(std::make_unique<evacuated_zones>());
    registry_.Register(std::make_unique<endpoint_link>(
        registry_, caller_contract{}, std::uint64_t{64} << 20));
    registry_.Register(std::make_unique<slot_link>(
        registry_, settings_, [this] { return ++random_; }));
    registry_.StartAll();
    endpoints_ = registry_.Find<endpoint_registry>(endpoint_registry::kName);
    endpoints_->Subscribe([this](const std::string&) { ++notifications_; });
  }
  ~listing_process() { registry_.StopAll(); }

  // Makes this VM the owner of a shard of each of the first `count` services.
  // Before a listing is applied, the shard holds all endpoints of the service.
  void Own(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      slot_request request;
      request.max_attempts = 1;
      request.arrival = event_loop::Now();
      request.deadline = event_loop::Now() + std::chrono::seconds(10);
      registry_.Find<slot_link>(slot_link::kName)
          ->Acquire(ServiceName(index), request,
                    {[](const slot_grant&) {}, [](const slot_rejection&) {}});
    }
  }

  void Apply(const std::vector<store_change>& changes) {
    const endpoint_registry::batch applied(*endpoints_);
    for (const store_change& change : changes) {
      if (const auto* entry = std::get_if<endpoint_entry>(&change.value))
        endpoints_->Put(*entry);
    }
  }

  std::size_t notifications() const { return notifications_; }

 private:
  entry_settings settings_;
  service_registry registry_;
  endpoint_registry* endpoints_ = nullptr;
  std::uint64_t random_ = 0;
  std::size_t notifications_ = 0;
};

void MeasureListing(std::size_t count, std::vector<measurement>* measured) {
  const store_contract contract = platform::MakeStoreContract();
  const std::vector<std::string> pages = MakePages(count);
  const double endpoints = static_cast<double>(count);
  const double decode_start = ProcessorMs();
  std::vector<store_page> read;
  read.reserve(pages.size());
  for (const std::string& page : pages)
    read.push_back(contract.read_list(200, page).value());
  measured->push_back({"decode_listing",
                       {{"endpoints", endpoints}},
                       ProcessorMs() - decode_start,
                       "ms"});
  for (const std::size_t owned : {0, 1, 4}) {
    listing_process process;
    process.Own(owned);
    const double start = ProcessorMs();
    for (const store_page& page : read)
      process.Apply(page.changes);
    const double taken = ProcessorMs() - start;
    const std::map<std::string, double> sizes = {
        {"endpoints", endpoints}, {"owned", static_cast<double>(owned)}};
    measured->push_back({"apply_listing", sizes, taken, "ms"});
    measured->push_back({"apply_listing_notifications", sizes,
                         static_cast<double>(process.notifications()), ""});
    // All endpoints restart at once, as seen by an owner of whole shards.
    listing_process running;
    for (const store_page& page : read)
      running.Apply(page.changes);
    running.Own(owned);
    for (store_page& page : read) {
      for (store_change& change : page.changes)
        ++std::get<endpoint_entry>(change.value).started_unix_ms;
    }
    const std::size_t notified = running.notifications();
    const double restart = ProcessorMs();
    for (const store_page& page : read)
      running.Apply(page.changes);
    measured->push_back(
        {"apply_restarts", sizes, ProcessorMs() - restart, "ms"});
    measured->push_back(
        {"apply_restarts_notifications", sizes,
         static_cast<double>(running.notifications() - notified), ""});
  }
}

std::vector<member> MakeMembers(std::size_t count) {
  std::vector<member> members(count);
  for (std::size_t index = 0; index < count; ++index) {
    members[index].peer_address = {"10.2." + std::to_string(index / 250) + "." +
                                       std::to_string(index % 250),
                                   7000};
    members[index].caller_address = {members[index].peer_address.host, 8000};
    members[index].availability_zone = "zone";
    members[index].capacity = 100;
  }
  return members;
}

void MeasureMembers(std::size_t count, std::vector<measurement>* measured) {
  const double vms = static_cast<double>(count);
  const auto write = [&](const char* name, double value, const char* unit) {
    measured->push_back({name, {{"vms", vms}}, value, unit});
  };
  const std::vector<member> members = MakeMembers(count);
  write("select_owner", MeasureMicroseconds([&members] {
          SelectMembersForDuty("service-1#3/8", members, 1, {});
        }),
        "us");
  entry_directory directory(members.front());
  write("set_members", MeasureMicroseconds([&] {
          directory.SetMembers({members.begin() + 1, members.end()});
        }),
        "us");

  membership_fleet fleet(count, kSeed);
  const double start = ProcessorMs();
  double joined_at = 0;
  for (time_span run{0}; run < kStartTime; run += kJoinStep) {
    fleet.RunFor(kJoinStep);
    if (joined_at == 0 && fleet.IsJoined())
      joined_at = ToMilliseconds(run + kJoinStep);
  }
  const double each = 1 / vms;
  write("join_time", joined_at, "ms, 0 when longer than 3 s");
  write("start_processor_time", (ProcessorMs() - start) * each, "ms/VM");
  write("start_messages_sent", static_cast<double>(fleet.messages()) * each,
        "1/VM");
  write("start_bytes_sent", static_cast<double>(fleet.bytes()) * each,
        "bytes/VM");
  write("start_table_requests",
        static_cast<double>(fleet.table_requests()) * each, "1/VM");
  write("start_table_records",
        static_cast<double>(fleet.table_records()) * each, "1/VM");
  write("start_notifications",
        static_cast<double>(fleet.notifications()) * each, "1/VM");
}

std::vector<measurement> MeasureFleetStart() {
  std::vector<measurement> measured;
  for (const std::size_t endpoints : {500, 1000, 3000, 3900})
    MeasureListing(endpoints, &measured);
  for (const std::size_t vms : {30, 100, 300, 1000})
    MeasureMembers(vms, &measured);
  return measured;
}

}  // namespace

void RegisterFleetStartSection(section_registry& registry) {
  registry.Register("fleet_start", MeasureFleetStart);
}

}  // namespace papayakeel::measure
