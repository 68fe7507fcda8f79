// One entry of the platform's VM list. The list may be out of date.
#ifndef SERVERS_MEMBERSHIP_VM_RECORD_H_
#define SERVERS_MEMBERSHIP_VM_RECORD_H_

#include <string>

#include "core/network_address.h"

namespace papayakeel {

enum class vm_role {
  kServer,
  kEntry,
};

struct vm_record {
  vm_role role = vm_role::kServer;
  network_address address;       // Endpoint, or an entry VM's caller address.
  network_address peer_address;  // Entry VMs only.
  std::string service;           // Backend servers only.
  std::string availability_zone;
  bool is_leaving = false;
};

}  // namespace papayakeel

#endif  // SERVERS_MEMBERSHIP_VM_RECORD_H_
