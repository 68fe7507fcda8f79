// Items of the users' store for tests.
#ifndef TESTS_PLATFORM_STORE_ITEMS_H_
#define TESTS_PLATFORM_STORE_ITEMS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace papayakeel::platform {

// An item of a listing, as JSON. `key` is written without escapes.
std::string MakeItem(const std::string& key, const std::string& value);

// An item of a listing, as JSON: endpoint number `index` of the service "s".
std::string MakeEndpointItem(int index);

// What an endpoint says of itself.
struct endpoint_report {
  int index = 0;
  std::uint64_t sequence = 1;
  std::uint64_t started_unix_ms = 1;
  bool is_leaving = false;
};

// Key and value of the entry of an endpoint of the service "s".
std::string MakeEndpointKey(int index);
std::string MakeEndpointValue(const endpoint_report& report);

// Key of the evacuation of a zone.
std::string EvacuationKey(const std::string& zone);

// Key and value of a desired state that sends each of `prefixes` of the host
// "a.example" to the service "s".
std::string DesiredStateKey();
std::string MakeDesiredStateValue(int version,
                                  const std::vector<std::string>& prefixes);

}  // namespace papayakeel::platform

#endif  // TESTS_PLATFORM_STORE_ITEMS_H_
