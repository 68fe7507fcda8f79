// Parser for the platform's list of VMs in JSON.
#ifndef MODULES_PLATFORM_CLIENT_VM_LIST_PARSER_H_
#define MODULES_PLATFORM_CLIENT_VM_LIST_PARSER_H_

#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "servers/membership/vm_record.h"

namespace papayakeel {

enum class vm_list_error_code {
  kSyntax,
  kBadRecord,
};

// Parses {"vms": [{"role": "server"|"entry", "address": "host:port",
// "peer_address": ..., "service": ..., "availability_zone": ...,
// "state": "live"|"leaving"}]}. Rejects the whole list if one record is
// invalid because a partial list would drop endpoints.
tl::expected<std::vector<vm_record>, vm_list_error_code> ParseVmList(
    std::string_view json_text);

}  // namespace papayakeel

#endif  // MODULES_PLATFORM_CLIENT_VM_LIST_PARSER_H_
