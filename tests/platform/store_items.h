// Items of the users' store for tests.
#ifndef TESTS_PLATFORM_STORE_ITEMS_H_
#define TESTS_PLATFORM_STORE_ITEMS_H_

#include <string>

namespace papayakeel::platform {

// An item of a listing, as JSON: endpoint number `index` of the service "s".
std::string MakeEndpointItem(int index);

}  // namespace papayakeel::platform

#endif  // TESTS_PLATFORM_STORE_ITEMS_H_
