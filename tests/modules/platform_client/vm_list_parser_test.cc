// Tests for the parser of the platform's list of VMs.
#include "modules/platform_client/vm_list_parser.h"

#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

TEST_GROUP(vm_list_parser){};

TEST(vm_list_parser, ReadsServersAndEntryVms) {
  const tl::expected<std::vector<vm_record>, vm_list_error_code> list =
      ParseVmList(R"({"vms": [
        {"role": "server", "address": "10.0.0.1:80", "service": "bokning",
         "availability_zone": "a", "state": "leaving"},
        {"role": "entry", "address": "10.0.0.2:80",
         "peer_address": "10.0.0.2:81", "state": "live"}]})");
  CHECK(list.has_value());
  LONGS_EQUAL(2, list->size());
  CHECK((*list)[0].is_leaving);
  STRCMP_EQUAL("bokning", (*list)[0].service.c_str());
  CHECK((*list)[1].role == vm_role::kEntry);
  LONGS_EQUAL(81, (*list)[1].peer_address.port);
}

// Guards against dropping endpoints. A parser that skips an invalid record
// would return a partial list.
TEST(vm_list_parser, RejectsWholeListIfOneRecordIsInvalid) {
  const tl::expected<std::vector<vm_record>, vm_list_error_code> list =
      ParseVmList(R"({"vms": [
        {"role": "server", "address": "10.0.0.1:80", "state": "live"},
        {"role": "server", "address": "10.0.0.1", "state": "live"}]})");
  CHECK_FALSE(list.has_value());
  CHECK(list.error() == vm_list_error_code::kBadRecord);
}

// Guards against crashing on malformed input, and against parsing it as an
// empty list, which would remove all backend servers.
TEST(vm_list_parser, RejectsMalformedInput) {
  CHECK(rc::check("any bytes", [](const std::string& bytes) {
    RC_ASSERT(!ParseVmList(bytes).has_value());
    RC_ASSERT(!ParseVmList("{\"vms\": [" + bytes + "x]}").has_value());
  }));
}

}  // namespace papayakeel
