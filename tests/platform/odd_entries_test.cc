// Tests of entries that other writers left in the store in another form than
// the platform's.
#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include <rapidcheck.h>
#include <nlohmann/json.hpp>

#include "platform/entry_codec.h"
#include "platform/platform_contracts.h"
#include "tests/platform/store_items.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel::platform {
namespace {

using nlohmann::json;

constexpr char kPlaceholder[] = "@odd@";

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

// JSON of any type and size, and numbers that no field can hold.
std::string OddJson() {
  const std::vector<std::string> samples = {
      "null",
      "true",
      "0",
      "-1",
      "0.5",
      "1e300",
      "-1e300",
      "4294967297",
      "18446744073709551615",
      "99999999999999999999",
      R"("")",
      R"("%%")",
      R"("10.0.0.1:65536")",
      R"("10.0.0.1:0")",
      R"("0.0.0.0:80")",
      R"("name:80")",
      R"("servers/")",
      R"("servers/a b")",
      R"("servers/a\r\nHost: b")",
      R"("servers/\u0000")",
      R"("9e99s")",
      '"' + std::string(100'000, 'x') + '"',
      "[]",
      "{}",
      Nested(3, "[", "]"),
      Nested(kDeepNesting, "[", "]"),
      Nested(kDeepNesting, R"({"a":)", "}"),
  };
  return *rc::gen::elementOf(samples);
}

// Replaces one member of the JSON text, at any depth, by odd JSON.
std::string MakeOdd(const std::string& text) {
  json document = json::parse(text);
  std::vector<std::string> paths;
  const json leaves = document.flatten();
  for (const auto& leaf : leaves.items())
    paths.push_back(leaf.key());
  json::json_pointer path(*rc::gen::elementOf(paths));
  for (int up = *rc::gen::inRange(0, 4); up > 0; --up)
    path = path.parent_pointer();
  document[path] = kPlaceholder;
  return Replaced(document.dump(), json(kPlaceholder).dump(), OddJson());
}

void AssertUsable(const endpoint_entry& entry) {
  RC_ASSERT(!entry.id.empty());
  RC_ASSERT(entry.id.size() <= 128U);
  for (const char each : entry.id)
    RC_ASSERT(each > ' ' && each < 0x7f);
  RC_ASSERT(entry.slots >= 1);
  RC_ASSERT(entry.slots <= 10'000);
  RC_ASSERT(entry.address.host == "10.0.0.1");
  RC_ASSERT(entry.address.port != 0);
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

// Guards against any one entry that ends the process, hides the others, names
// an absurd endpoint, or is read differently by the followers of a relay.
TEST(odd_entries, AnyOddEntryLeavesTheOthers) {
  const store_contract contract = MakeStoreContract();
  CHECK(rc::check("one odd entry", [&contract] {
    const bool is_odd_value = *rc::gen::arbitrary<bool>();
    const std::string item =
        is_odd_value ? MakeItem("servers/i-2", MakeOdd(MakeEndpointValue({2})))
                     : MakeOdd(MakeEndpointItem(2));
    const store_page_result page = contract.read_list(
        200, MakePage({MakeEndpointItem(1), item, MakeEndpointItem(3)}));
    RC_ASSERT(page.has_value());
    RC_ASSERT(page->changes.size() >= 2U);
    RC_ASSERT(page->changes.size() <= 3U);
    RC_ASSERT(NamesEndpoint(page->changes.front(), "i-1"));
    RC_ASSERT(NamesEndpoint(page->changes.back(), "i-3"));
    std::vector<std::string> originals;
    for (const store_change& change : page->changes) {
      if (const auto* entry = std::get_if<endpoint_entry>(&change.value))
        AssertUsable(*entry);
      originals.push_back(change.original);
    }
    const store_page_result relayed = contract.read_list(
        200, contract.write_answer(store_request{}, originals, 9));
    RC_ASSERT(relayed.has_value());
    RC_ASSERT(relayed->changes.size() == page->changes.size());
    for (std::size_t index = 0; index < page->changes.size(); ++index) {
      RC_ASSERT(relayed->changes[index].key == page->changes[index].key);
      RC_ASSERT(relayed->changes[index].revision ==
                page->changes[index].revision);
      RC_ASSERT(relayed->changes[index].value.index() ==
                page->changes[index].value.index());
    }
  }));
}

// Guards against a page or a desired state that ends the process.
TEST(odd_entries, AnyOddPageOrStateIsReadWithoutException) {
  const store_contract contract = MakeStoreContract();
  CHECK(rc::check("odd page", [&contract] {
    const std::string page = MakeOdd(MakePage({MakeEndpointItem(1)}));
    contract.read_list(200, page);
    contract.read_watch(200, page);
  }));
  CHECK(rc::check("odd state", [] { DecodeDesiredState(MakeOdd(kState)); }));
}

}  // namespace papayakeel::platform
