// Tests of operation key and epoch parsing.
#include "servers/operations/operation_key.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

const std::string kEpochText = "00112233445566778899aabbccddeeff";

operation_key_error ErrorOf(const std::string& text) {
  const tl::expected<operation_key, operation_key_error> key =
      operation_key::Parse(text);
  CHECK_FALSE(key.has_value());
  return key.error();
}

}  // namespace

TEST_GROUP(operation_key){};

// Guards against running one operation twice because its key is quoted or in
// upper case in a retry.
TEST(operation_key, SpellingsOfOneKeyAreEqual) {
  const std::string upper = "00112233445566778899AABBCCDDEEFF.a\"b";
  const std::string lower = kEpochText + ".a\"b";
  STRCMP_EQUAL(lower.c_str(), operation_key::Parse(upper)->ToString().c_str());
  const std::string quoted = "\"" + kEpochText + ".ab\"";
  STRCMP_EQUAL((kEpochText + ".ab").c_str(),
               operation_key::Parse(quoted)->ToString().c_str());
}

// Guards against accepting an invalid key, and against the wrong error code.
TEST(operation_key, ReportsASpecificErrorForEachDefect) {
  using error = operation_key_error;
  CHECK(ErrorOf("") == error::kEmpty);
  CHECK(ErrorOf("\"" + kEpochText + ".a") == error::kBadQuotes);
  CHECK(ErrorOf("\"" + kEpochText + ".a\\\"") == error::kBadQuotes);
  CHECK(ErrorOf("\"") == error::kBadQuotes);
  CHECK(ErrorOf(kEpochText) == error::kMissingEpoch);
  CHECK(ErrorOf("a" + kEpochText + ".a") == error::kMissingEpoch);
  CHECK(ErrorOf("g" + kEpochText.substr(1) + ".a") == error::kBadEpoch);
  CHECK(ErrorOf(kEpochText + ".") == error::kEmptySuffix);
  CHECK(ErrorOf(kEpochText + "." + std::string(129, 'a')) ==
        error::kSuffixTooLong);
  CHECK(ErrorOf(kEpochText + ".a b") == error::kBadCharacter);
  CHECK(ErrorOf(kEpochText + ".\x7f") == error::kBadCharacter);
  CHECK(ErrorOf(kEpochText + ".\xc3\xa9") == error::kBadCharacter);
  CHECK(operation_key::Parse(kEpochText + "." + std::string(128, '~'))
            .has_value());
}

// Guards against reads past the end of the text, and against accepted keys that
// change when they are formatted and parsed again.
TEST(operation_key, AcceptedTextRoundTrips) {
  CHECK(rc::check("round trip", [](const std::string& random_text) {
    std::string prefixed = kEpochText + ".";
    prefixed += random_text;
    for (const std::string& text : {random_text, prefixed}) {
      const tl::expected<operation_key, operation_key_error> key =
          operation_key::Parse(text);
      if (!key)
        continue;
      const tl::expected<operation_key, operation_key_error> reparsed =
          operation_key::Parse(key->ToString());
      RC_ASSERT(reparsed.has_value());
      RC_ASSERT(reparsed->ToString() == key->ToString());
      RC_ASSERT(!key->suffix.empty());
      RC_ASSERT(key->suffix.size() <= operation_key::kMaxSuffixLength);
    }
  }));
}

}  // namespace papayakeel
