// Endpoint as listed in the VM list or the bundle.
#ifndef SERVERS_DISPATCH_ENDPOINT_INFO_H_
#define SERVERS_DISPATCH_ENDPOINT_INFO_H_

#include <string>

#include "core/network_address.h"

namespace papayakeel {

struct endpoint_info {
  network_address address;
  std::string availability_zone;
  bool is_leaving = false;
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_ENDPOINT_INFO_H_
