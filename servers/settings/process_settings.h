// Settings of a papayakeeld process, read from its TOML file.
#ifndef SERVERS_SETTINGS_PROCESS_SETTINGS_H_
#define SERVERS_SETTINGS_PROCESS_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/network_address.h"

namespace papayakeel {

struct process_settings {
  std::string deployment;
  std::string availability_zone;
  std::string log_level = "info";  // debug, info, warning or error

  network_address caller_listen;
  network_address caller_advertise;  // For callers; default caller_listen.
  network_address operator_listen;
  std::string operator_token;  // Bearer token; at least 16 characters.
  network_address peer_listen;
  network_address peer_advertise;  // For peers; default peer_listen.
  std::vector<network_address> peer_seeds;
  std::string fleet_key;  // 64 hexadecimal digits; equal on all entry VMs.

  network_address configuration_service;
  std::string bundle_key = "bundle";  // Key in the configuration service.
  network_address vm_list;

  std::map<std::string, std::string> trusted_keys;  // Hex keys by key id.
  std::uint64_t minimum_bundle_version = 0;
  bool serve_alone = false;
  std::chrono::milliseconds peer_wait{10000};

  std::size_t buffered_bytes_limit = 256 * 1024 * 1024;
  std::size_t caller_connection_limit = 4096;
  std::chrono::milliseconds read_timeout{10000};
  std::chrono::milliseconds shutdown_grace{30000};
};

}  // namespace papayakeel

#endif  // SERVERS_SETTINGS_PROCESS_SETTINGS_H_
