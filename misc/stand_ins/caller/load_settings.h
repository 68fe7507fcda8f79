// What the load tool sends, and where.
#ifndef MISC_STAND_INS_CALLER_LOAD_SETTINGS_H_
#define MISC_STAND_INS_CALLER_LOAD_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/network_address.h"

namespace papayakeel {

struct load_settings {
  // Entry VMs to ask for addresses, or servers to call directly.
  std::vector<network_address> addresses;
  bool is_direct = false;
  std::string service;
  std::string method = "GET";
  std::string target = "/lookup";
  bool is_once_only = false;
  double calls_per_second = 100;
  std::chrono::milliseconds duration{5000};
  std::chrono::milliseconds deadline{2000};
  std::uint64_t seed = 1;
};

}  // namespace papayakeel

#endif  // MISC_STAND_INS_CALLER_LOAD_SETTINGS_H_
