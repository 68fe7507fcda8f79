// Tests of the load report parser, whose input comes from servers and is
// untrusted.
#include "modules/call_router/load_header.h"

#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

TEST_GROUP(load_header){};

TEST(load_header, ReadsTextAndJson) {
  const std::optional<load_report> text = ParseLoadHeader(
      "TEXT application_utilization=0.5, named_metrics.queue=3");
  CHECK(text.has_value());
  DOUBLES_EQUAL(0.5, text->utilization, 1e-9);
  DOUBLES_EQUAL(3, text->queue_length, 1e-9);
  const std::optional<load_report> json = ParseLoadHeader(
      R"(JSON {"application_utilization": 1, "named_metrics": {"queue": 2}})");
  CHECK(json.has_value());
  DOUBLES_EQUAL(2, json->queue_length, 1e-9);
}

// Guards against accepting negative, non-finite, oversized or malformed load
// values, with which one server could attract all calls.
TEST(load_header, RejectsOutOfRangeValues) {
  CHECK_FALSE(ParseLoadHeader("TEXT application_utilization=-1").has_value());
  CHECK_FALSE(ParseLoadHeader("TEXT application_utilization=nan").has_value());
  CHECK_FALSE(ParseLoadHeader("TEXT application_utilization=1e9").has_value());
  CHECK_FALSE(ParseLoadHeader("JSON []").has_value());
  CHECK_FALSE(ParseLoadHeader("JSON {\"named_metrics\": 3}").has_value());
}

// Guards against a crash on arbitrary input that is not a load report.
TEST(load_header, AcceptsArbitraryBytesWithoutCrash) {
  CHECK(rc::check("any bytes", [](const std::string& bytes) {
    for (const char* prefix : {"", "TEXT ", "JSON ", "JSON {"})
      ParseLoadHeader(prefix + bytes);
  }));
}

}  // namespace papayakeel
