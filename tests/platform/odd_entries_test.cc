// Tests of entries that other writers left in the store in another form than
// the platform's.
#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "platform/entry_codec.h"
#include "platform/platform_contracts.h"
#include "tests/platform/store_items.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel::platform {
namespace {

constexpr std::size_t kDeepNesting = 100'000;

std::string Nested(std::size_t depth, const char* open, const char* close) {
  std::string text;
  for (std::size_t level = 0; level < depth; ++level)
    text += open;
  text += '0';
  for (std::size_t level = 0; level < depth; ++level)
    text += close;
  return text;
}

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

std::string MakePage(const std::vector<std::string>& items) {
  std::string page = R"({"items":[)";
  for (const std::string& item : items) {
    if (page.back() != '[')
      page += ',';
    page += item;
  }
  return page + R"(],"has_more":false,"as_of":9})";
}

bool NamesEndpoint(const store_change& change, const std::string& id) {
  const auto* entry = std::get_if<endpoint_entry>(&change.value);
  return entry != nullptr && entry->id == id;
}

constexpr char kState[] =
    R"({"version":7,"limits":{"max_header_bytes":16384,"max_body_bytes":6710,)"
    R"("header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{)"
    R"("host":"a.example","policy":[{"name":"r","route_kind":"idempotent",)"
    R"("target_latency":"400ms","priority":2,"match":{"prefix":"/l/"},)"
    R"("action":{"traffic_split":[{"service":"s1","weight":90}],)"
    R"("timeout":"1500ms","max_attempts":3}}]}],)"
    R"("clusters":[{"name":"s1","health_path":"/health","max_conns":220}]})";

bool IsTaken(const std::string& from, const std::string& to) {
  return DecodeDesiredState(Replaced(kState, from, to)).has_value();
}

}  // namespace

TEST_GROUP(odd_entries){};

// Guards against an item whose depth ends the process when it is kept for
// relays.
TEST(odd_entries, DeepItemLeavesTheOthers) {
  const store_contract contract = MakeStoreContract();
  const std::string deep = Nested(kDeepNesting, "[", "]");
  const store_page_result page = contract.read_list(
      200, MakePage({MakeEndpointItem(1),
                     R"({"key":"servers/i-2","value":)" + deep +
                         R"(,"revision":3,"more":)" + deep + "}",
                     MakeEndpointItem(3)}));
  CHECK(page.has_value());
  LONGS_EQUAL(3, page->changes.size());
  CHECK(NamesEndpoint(page->changes[0], "i-1"));
  CHECK(std::holds_alternative<malformed_entry>(page->changes[1].value));
  CHECK(NamesEndpoint(page->changes[2], "i-3"));
}

// Guards against an exception that ends the process, and against a listing that
// is taken as whole although more follows.
TEST(odd_entries, OddEndOfPageIsUnreadable) {
  const store_contract contract = MakeStoreContract();
  for (const char* const odd : {"1", "null", "\"true\"", "[]", "{}"}) {
    const std::string page =
        Replaced(MakePage({MakeEndpointItem(1)}), "false", odd);
    CHECK_FALSE_TEXT(contract.read_list(200, page).has_value(), odd);
  }
  const std::string without_key =
      Replaced(MakePage({R"({"key":7})"}), "false", "true");
  CHECK_FALSE(contract.read_list(200, without_key).has_value());
}

// Guards against ids that add lines to a request or do not fit a datagram.
TEST(odd_entries, OddIdNamesNoEndpoint) {
  const std::string entry = MakeEndpointValue({1});
  CHECK(DecodeEndpoint(std::string(128, 'i'), entry).has_value());
  for (const std::string& id :
       {std::string(), std::string("a b"), std::string("a\r\nHost: b"),
        std::string("a\0", 2), std::string("\xc3\xa9"), std::string("\x7f"),
        std::string(129, 'i')}) {
    CHECK_FALSE_TEXT(DecodeEndpoint(id, entry).has_value(), id.c_str());
  }
}

// Guards against a conversion of numbers that an int does not hold.
TEST(odd_entries, OddSlotsNameNoEndpoint) {
  const std::string entry = MakeEndpointValue({1});
  for (const char* const slots :
       {"1e300", "-1e300", "4294967298", "3000000000", "10001", "0.5", "1.5"}) {
    CHECK_FALSE_TEXT(
        DecodeEndpoint("i-1", Replaced(entry, "\"slots\":2",
                                       std::string("\"slots\":") + slots))
            .has_value(),
        slots);
  }
}

// Guards against attempts at an address that no connection can reach.
TEST(odd_entries, OddAddressNamesNoEndpoint) {
  const std::string entry = MakeEndpointValue({1});
  for (const char* const address :
       {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.256:80",
        "name:80", "0.0.0.0:80", "224.0.0.1:80", "[::]:80"}) {
    CHECK_FALSE_TEXT(
        DecodeEndpoint("i-1", Replaced(entry, "10.0.0.1:8001", address))
            .has_value(),
        address);
  }
  CHECK(DecodeEndpoint("i-1", Replaced(entry, "10.0.0.1:8001", "[fd00::1]:80"))
            .has_value());
}

// Guards against a desired state whose numbers are changed by a conversion.
TEST(odd_entries, DesiredStateWithOddNumbersIsNotTaken) {
  CHECK(IsTaken("\"priority\":2", "\"priority\":2"));
  for (const char* const number : {"1e300", "-1e300", "4294967297", "0.5"}) {
    const std::string text = number;
    CHECK_FALSE_TEXT(IsTaken("\"priority\":2", "\"priority\":" + text), number);
    CHECK_FALSE_TEXT(IsTaken("\"max_attempts\":3", "\"max_attempts\":" + text),
                     number);
    CHECK_FALSE_TEXT(IsTaken("\"max_conns\":220", "\"max_conns\":" + text),
                     number);
    CHECK_FALSE_TEXT(IsTaken("16384", text), number);
  }
  CHECK_FALSE(IsTaken("\"weight\":90", "\"weight\":1e300"));
  CHECK_FALSE(IsTaken("\"weight\":90", "\"weight\":-1"));
  CHECK_FALSE(IsTaken("6710", "18446744073709551615"));
}

// Guards against a desired state without routes that is put in force.
TEST(odd_entries, DesiredStateWithoutListsIsNotTaken) {
  for (const std::string& member :
       {std::string("listeners"), std::string("policy"),
        std::string("clusters")}) {
    for (const char* const odd : {"null", "{}"}) {
      CHECK_FALSE_TEXT(IsTaken('"' + member + "\":",
                               '"' + member + "\":" + odd + ",\"other\":"),
                       member.c_str());
    }
  }
}

// Guards against the wait of a follower's watch that overflows its time.
TEST(odd_entries, OddWatchesAreRefused) {
  const store_contract contract = MakeStoreContract();
  const std::string start = "/-/kv-watch?prefix=&after=";
  CHECK(contract.parse_request(start + "18446744073709551615&wait_ms=600")
            .has_value());
  for (const char* const rest :
       {"1&wait_ms=1e30", "1&wait_ms=18446744073709551615", "1e30&wait_ms=600",
        "-1&wait_ms=600", "1&wait_ms=", "&wait_ms=600"}) {
    CHECK_FALSE_TEXT(contract.parse_request(start + rest).has_value(), rest);
  }
}

}  // namespace papayakeel::platform
