// Tests of route lookup and of desired state replacement.
#include "servers/routing/route_table.h"

#include <memory>
#include <string>

#include "servers/routing/desired_state_store.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

route MakeRoute(const std::string& host, const std::string& prefix) {
  route result;
  result.host = host;
  result.prefix = prefix;
  result.targets = {{"matregister", 1}};
  return result;
}

desired_state_pointer MakeState(std::uint64_t version) {
  desired_state state;
  state.version = version;
  state.routes = {MakeRoute("a.example", "/"), MakeRoute("a.example", "/mat/"),
                  MakeRoute("a.example", "/mat/new/"),
                  MakeRoute("b.example", "/photos/")};
  return std::make_shared<const desired_state>(state);
}

}  // namespace

TEST_GROUP(route_table){};

// Guards against selecting a route with a shorter prefix than the longest
// match.
TEST(route_table, UsesRouteWithLongestPrefix) {
  const route_table table(MakeState(1));
  STRCMP_EQUAL("/mat/new/",
               table.Find("a.example", "/mat/new/7?x=/mat/")->prefix.c_str());
  STRCMP_EQUAL("/mat/", table.Find("a.example", "/mat/newer")->prefix.c_str());
  STRCMP_EQUAL("/", table.Find("a.example", "/matting")->prefix.c_str());
}

// Guards against selecting a route of another host, and against a host match
// that depends on letter case or port.
TEST(route_table, HostMustMatch) {
  const route_table table(MakeState(1));
  CHECK(table.Find("B.Example:8080", "/photos/1") != nullptr);
  CHECK(table.Find("b.example", "/mat/") == nullptr);
  CHECK(table.Find("c.example", "/") == nullptr);
}

// Guards against matching a prefix in the query instead of the path.
TEST(route_table, QueryIsIgnored) {
  const route_table table(MakeState(1));
  CHECK(table.Find("b.example", "/x?/photos/") == nullptr);
}

TEST_GROUP(desired_state_store){};

// Guards against replacing the desired state by an older or equal version, for
// example when messages arrive out of order.
TEST(desired_state_store, IgnoresOlderAndEqualVersions) {
  desired_state_store state_store;
  int change_count = 0;
  state_store.Subscribe([&change_count] { ++change_count; });
  CHECK(state_store.routes() == nullptr);
  CHECK(state_store.ApplyIfNewer(MakeState(5)));
  CHECK_FALSE(state_store.ApplyIfNewer(MakeState(5)));
  CHECK_FALSE(state_store.ApplyIfNewer(MakeState(4)));
  CHECK(state_store.ApplyIfNewer(MakeState(9)));
  LONGS_EQUAL(2, change_count);
  LONGS_EQUAL(9, state_store.routes()->state().version);
}

}  // namespace papayakeel
