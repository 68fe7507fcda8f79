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

}  // namespace papayakeel::platform
