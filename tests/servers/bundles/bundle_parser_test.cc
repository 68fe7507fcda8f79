// Tests of parsing and validating the bundle files that operators write.
#include "servers/bundles/bundle_parser.h"

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "servers/bundles/bundle_content.h"
#include "tests/servers/bundles/bundle_samples.h"

namespace papayakeel {

using samples::kFullBundle;

namespace {

// Returns the full bundle with line `line` (1-based) replaced.
std::string WithLine(int line, const std::string& replacement) {
  std::istringstream lines(kFullBundle);
  std::string text;
  std::string result;
  for (int number = 1; std::getline(lines, text); ++number)
    result += (number == line ? replacement : text) + "\n";
  return result;
}

// Returns one line per problem, in the form "LINE CODE KEY".
std::string Problems(const std::string& toml_text) {
  const tl::expected<bundle, std::vector<bundle_error>> parsed =
      ParseBundle(toml_text);
  std::string list;
  if (parsed)
    return list;
  for (const bundle_error& each : parsed.error()) {
    list += (list.empty() ? "" : "\n") + std::to_string(each.line) + " " +
            ToString(each.code) + " " + each.key;
  }
  return list;
}

struct mutation {
  int line;
  const char* replacement;
  const char* problem;
};

}  // namespace

TEST_GROUP(bundle_parser){};

// Guards against a setting that is stored in the wrong field or ignored, both
// when parsing the operators' TOML and when parsing the canonical JSON.
TEST(bundle_parser, ReadsEverySetting) {
  const bundle from_text = *ParseBundle(kFullBundle);
  const bundle from_content = *ParseBundleContent(MakeBundleContent(from_text));
  for (const bundle& read : {from_text, from_content}) {
    STRCMP_EQUAL("norrsken", read.deployment.c_str());
    LONGS_EQUAL(7, read.version);
    LONGS_EQUAL(20, read.entry_vm_limit);
    LONGS_EQUAL(1, read.services.size());
    const service_definition& service = read.services[0];
    STRCMP_EQUAL("bokning", service.name.c_str());
    CHECK(service.source == endpoint_source::kStatic);
    LONGS_EQUAL(2, service.static_endpoints.size());
    STRCMP_EQUAL("fd00::1", service.static_endpoints[1].host.c_str());
    LONGS_EQUAL(8081, service.static_endpoints[1].port);
    LONGS_EQUAL(2, service.homes);
    LONGS_EQUAL(3, service.slots_per_endpoint);
    LONGS_EQUAL(200, service.connection_limit);
    LONGS_EQUAL(2, service.zone_weights.size());
    DOUBLES_EQUAL(1.5, service.zone_weights.at("sve-mitt-a"), 0);
    DOUBLES_EQUAL(0, service.zone_weights.at("sve-mitt-b"), 0);
    LONGS_EQUAL(30, service.expected_service_time.count());
    LONGS_EQUAL(24, service.probe_budget_per_second.count());
    LONGS_EQUAL(5, service.probe_cost.count());
    DOUBLES_EQUAL(0.3, service.retry_share, 0);
    DOUBLES_EQUAL(0.07, service.hedge_share, 0);
    LONGS_EQUAL(99, service.queue_limit);
    STRCMP_EQUAL("X-Request-Id", service.answer_id_header.c_str());
    LONGS_EQUAL(2, service.classes.size());
    const work_class& book = service.classes[0];
    STRCMP_EQUAL("book", book.name.c_str());
    CHECK(book.methods == std::vector<std::string>({"POST", "PUT"}));
    STRCMP_EQUAL("/bookings", book.path_prefix.c_str());
    CHECK(book.once_only);
    CHECK(book.key == key_requirement::kOptional);
    LONGS_EQUAL(5000, book.patience.count());
    LONGS_EQUAL(1, book.importance);
    LONGS_EQUAL(1000, book.max_body_bytes);
    LONGS_EQUAL(2000, book.max_answer_bytes);
    CHECK(book.not_run_statuses == std::vector<int>({409, 503}));
    const work_class& lookup = service.classes[1];
    STRCMP_EQUAL("lookup", lookup.name.c_str());
    CHECK_FALSE(lookup.once_only);
    LONGS_EQUAL(2000, lookup.patience.count());
    LONGS_EQUAL(3, lookup.importance);
  }
}

// Guards against an invalid setting that is not reported, is reported with the
// wrong line or code, or causes reports about unrelated settings.
TEST(bundle_parser, ReportsEveryMutation) {
  const std::vector<mutation> mutations = {
      {1, "", "1 missing_key deployment"},
      {1, "deployment = 5", "1 bad_type deployment"},
      {1, "deployment = \"a b\"", "1 bad_value deployment"},
      {1, "deploiment = \"norrsken\"",
       "1 missing_key deployment\n1 unknown_key deploiment"},
      {2, "", "1 missing_key version"},
      {2, "version = 0", "2 bad_value version"},
      {2, "version = \"7\"", "2 bad_type version"},
      {2, "version = 7.0", "2 bad_type version"},
      {3, "entry_vm_limit = 0", "3 bad_value entry_vm_limit"},
      {3, "entry_vm_limit = 1025", "3 bad_value entry_vm_limit"},
      {3, "entry_vm_limit = true", "3 bad_type entry_vm_limit"},
      {3, "extra = 1", "3 unknown_key extra"},
      {6, "", "5 missing_key service.#1.name"},
      {6, "name = \"Bokning\"", "6 bad_value service.Bokning.name"},
      {6, "name = 4", "6 bad_type service.#1.name"},
      {7, "endpoint_source = \"dns\"",
       "7 bad_value service.bokning.endpoint_source"},
      {7, "endpoint_source = \"vm_list\"",
       "8 contradiction service.bokning.endpoints"},
      {8, "", "5 missing_key service.bokning.endpoints"},
      {8, "endpoints = []", "8 bad_value service.bokning.endpoints"},
      {8, "endpoints = [\"10.0.0.1:0\"]",
       "8 bad_value service.bokning.endpoints"},
      {8, "endpoints = [\"server:80\"]",
       "8 bad_value service.bokning.endpoints"},
      {8, "endpoints = [\"10.0.0.1:80\",\n  \"10.0.0.1:80\"]",
       "9 duplicate service.bokning.endpoints"},
      {8, "endpoints = [7]", "8 bad_type service.bokning.endpoints"},
      {8, "endpoints = \"10.0.0.1:80\"",
       "8 bad_type service.bokning.endpoints"},
      {9, "homes = 0", "9 bad_value service.bokning.homes"},
      {9, "homes = 21", "9 contradiction service.bokning.homes"},
      {9, "homes = \"1\"", "9 bad_type service.bokning.homes"},
      {10, "slots_per_endpoint = 0",
       "10 bad_value service.bokning.slots_per_endpoint"},
      {10, "slots_per_endpoint = 11",
       "11 contradiction service.bokning.connection_limit"},
      {11, "connection_limit = 59",
       "11 contradiction service.bokning.connection_limit"},
      {11, "connection_limit = 70000",
       "11 bad_value service.bokning.connection_limit"},
      {11, "connection_limit = [200]",
       "11 bad_type service.bokning.connection_limit"},
      {12, "expected_service_time_ms = 0",
       "12 bad_value service.bokning.expected_service_time_ms"},
      {12, "expected_service_time_ms = 2001",
       "12 contradiction service.bokning.expected_service_time_ms"},
      {13, "probe_budget_ms_per_second = -1",
       "13 bad_value service.bokning.probe_budget_ms_per_second"},
      {13, "probe_budget_ms_per_second = 4",
       "14 contradiction service.bokning.probe_cost_ms"},
      {14, "probe_cost_ms = 25",
       "14 contradiction service.bokning.probe_cost_ms"},
      {14, "probe_cost_ms = 0", "14 bad_value service.bokning.probe_cost_ms"},
      {15, "retry_share = 1.1", "15 bad_value service.bokning.retry_share"},
      {15, "retry_share = nan", "15 bad_value service.bokning.retry_share"},
      {15, "retry_share = \"0.1\"", "15 bad_type service.bokning.retry_share"},
      {16, "hedge_share = -0.1", "16 bad_value service.bokning.hedge_share"},
      {16, "hedge_share = inf", "16 bad_value service.bokning.hedge_share"},
      {17, "queue_limit = 0", "17 bad_value service.bokning.queue_limit"},
      {18, "answer_id_header = \"X Id\"",
       "18 bad_value service.bokning.answer_id_header"},
      {21, "sve-mitt-a = -1",
       "21 bad_value service.bokning.zone_weights.sve-mitt-a"},
      {21, "sve-mitt-a = \"1\"",
       "21 bad_type service.bokning.zone_weights.sve-mitt-a"},
      {21, "\"a zone\" = 1",
       "21 bad_value service.bokning.zone_weights.a zone"},
      {25, "", "24 missing_key service.bokning.class.#1.name"},
      {25, "name = \"lookup\"",
       "37 duplicate service.bokning.class.lookup.name"},
      {26, "methods = \"POST\"",
       "26 bad_type service.bokning.class.book.methods"},
      {26, "methods = [\"post\"]",
       "26 bad_value service.bokning.class.book.methods"},
      {26, "methods = [\"PUT\", \"PUT\"]",
       "26 duplicate service.bokning.class.book.methods"},
      {27, "path_prefix = \"bookings\"",
       "27 bad_value service.bokning.class.book.path_prefix"},
      {27, "path_prefix = \"/bookings?x\"",
       "27 bad_value service.bokning.class.book.path_prefix"},
      {28, "once_only = false",
       "29 contradiction service.bokning.class.book.key"},
      {28, "once_only = 1",
       "28 bad_type service.bokning.class.book.once_only\n"
       "29 contradiction service.bokning.class.book.key"},
      {29, "key = \"none\"", "29 bad_value service.bokning.class.book.key"},
      {30, "patience_ms = 0",
       "30 bad_value service.bokning.class.book.patience_ms"},
      {30, "patience_ms = 86400001",
       "30 bad_value service.bokning.class.book.patience_ms"},
      {30, "patience_ms = 29",
       "12 contradiction service.bokning.expected_service_time_ms"},
      {31, "importance = 8",
       "31 bad_value service.bokning.class.book.importance"},
      {32, "max_body_bytes = -1",
       "32 bad_value service.bokning.class.book.max_body_bytes"},
      {33, "max_answer_bytes = 0",
       "33 bad_value service.bokning.class.book.max_answer_bytes"},
      {34, "not_run_statuses = [200]",
       "34 bad_value service.bokning.class.book.not_run_statuses"},
      {34, "not_run_statuses = [503, 503]",
       "34 duplicate service.bokning.class.book.not_run_statuses"},
      {34, "not_run_statuses = [\"503\"]",
       "34 bad_type service.bokning.class.book.not_run_statuses"},
      {34, "importnace = 2",
       "34 unknown_key service.bokning.class.book.importnace"},
      {5, "[service]", "5 bad_type service"},
  };
  for (const mutation& each : mutations) {
    const std::string found = Problems(WithLine(each.line, each.replacement));
    STRCMP_EQUAL_TEXT(each.problem, found.c_str(), each.replacement);
  }
}

// Guards against a misspelled key or a value of the wrong type that is not
// reported. Each key of the full text in turn is renamed and given a date as
// its value, and then keeps its name with a date as its value.
TEST(bundle_parser, ReportsEachKeyWithItsLine) {
  std::istringstream lines(kFullBundle);
  std::string text;
  int mutated = 0;
  for (int number = 1; std::getline(lines, text); ++number) {
    const std::size_t equals = text.find(" = ");
    if (equals == std::string::npos)
      continue;
    ++mutated;
    const std::string line = std::to_string(number);
    const std::string renamed = Problems(
        WithLine(number, "x" + text.substr(0, equals) + " = 1979-05-27"));
    const std::string retyped =
        Problems(WithLine(number, text.substr(0, equals) + " = 1979-05-27"));
    STRCMP_CONTAINS_TEXT(("\n" + line + " ").c_str(), ("\n" + renamed).c_str(),
                         text.c_str());
    STRCMP_CONTAINS_TEXT(("\n" + line + " bad_type ").c_str(),
                         ("\n" + retyped).c_str(), text.c_str());
  }
  LONGS_EQUAL(29, mutated);
}

// Guards against a report that ends at the first problem, and against an error
// detail that does not state what is allowed.
TEST(bundle_parser, ReportsAllProblemsAtOnce) {
  const std::string text = R"(version = "x"
[[service]]
name = "a"
homes = 99
[[service]]
name = "a"
[[service.class]]
name = "c"
importance = 9
)";
  STRCMP_EQUAL(
      "1 missing_key deployment\n"
      "1 bad_type version\n"
      "2 missing_key service.a.class\n"
      "4 contradiction service.a.homes\n"
      "6 duplicate service.a.name\n"
      "9 bad_value service.a.class.c.importance",
      Problems(text).c_str());
  const std::vector<bundle_error> errors = ParseBundle(text).error();
  for (const bundle_error& each : errors) {
    STRCMP_CONTAINS("found ", each.detail.c_str());
    STRCMP_CONTAINS(", allowed: ", each.detail.c_str());
  }
}

// Guards against accepting a service without classes or a bundle without
// services.
TEST(bundle_parser, RequiresServicesAndClasses) {
  const std::string head = "deployment = \"n\"\nversion = 1\n";
  STRCMP_EQUAL("1 missing_key service", Problems(head).c_str());
  STRCMP_EQUAL("3 missing_key service",
               Problems(head + "service = []\n").c_str());
  STRCMP_EQUAL("3 bad_type service",
               Problems(head + "service = [1]\n").c_str());
  STRCMP_EQUAL("3 missing_key service.a.class",
               Problems(head + "[[service]]\nname = \"a\"\n").c_str());
}

// Guards against accepting a class that no request can match. An earlier,
// broader class would match its requests, and once-only requests would then be
// handled by the rules of the earlier class.
TEST(bundle_parser, RefusesAnUnreachableClass) {
  const std::string head =
      "deployment = \"n\"\nversion = 1\n[[service]]\nname = \"a\"\n"
      "[[service.class]]\nname = \"all\"\n";
  const std::string tail =
      "[[service.class]]\nname = \"b\"\npath_prefix = \"/b\"\n"
      "methods = [\"POST\"]\n";
  STRCMP_EQUAL("5 contradiction service.a.class",
               Problems(head + tail).c_str());
  STRCMP_EQUAL("", Problems(head + "methods = [\"GET\"]\n" + tail).c_str());
}

// Guards against accepting a hedge share that has no effect, and against
// writing a canonical form that ParseBundleContent rejects.
TEST(bundle_parser, OnceOnlyServicesDoNotHedge) {
  const std::string head =
      "deployment = \"n\"\nversion = 1\n[[service]]\nname = \"a\"\n";
  const std::string tail =
      "[[service.class]]\nname = \"b\"\nonce_only = true\n";
  STRCMP_EQUAL("5 contradiction service.a.hedge_share",
               Problems(head + "hedge_share = 0.05\n" + tail).c_str());
  const bundle read = *ParseBundle(head + tail);
  DOUBLES_EQUAL(0, read.services[0].hedge_share, 0);
  CHECK(ParseBundleContent(MakeBundleContent(read)).has_value());
}

// Guards against silently accepting a probe budget that makes probes too rare
// to be useful, and against rejecting a budget of 0, which turns probes off.
TEST(bundle_parser, ProbesAreOffOrFrequentEnough) {
  const auto text = [](int budget, int limit) {
    return "deployment = \"n\"\nversion = 1\nentry_vm_limit = " +
           std::to_string(limit) +
           "\n[[service]]\nname = \"a\"\nslots_per_endpoint = 1\n"
           "connection_limit = 2000\nprobe_cost_ms = 6\n"
           "probe_budget_ms_per_second = " +
           std::to_string(budget) + "\n[[service.class]]\nname = \"b\"\n";
  };
  STRCMP_EQUAL("", Problems(text(0, 1000)).c_str());
  STRCMP_EQUAL("", Problems(text(10, 1000)).c_str());
  STRCMP_EQUAL("9 contradiction service.a.probe_budget_ms_per_second",
               Problems(text(6, 1000)).c_str());
}

// Guards against undefined behaviour in toml++, which non-ASCII characters
// outside of strings can cause, and against rejecting non-ASCII comments, which
// operators write in their own languages.
TEST(bundle_parser, ReadsNonAsciiCharacters) {
  STRCMP_EQUAL("", Problems("# Tatamif\u00f6rbundet \u69fb\u69fb\u7c73\n" +
                            std::string(kFullBundle))
                       .c_str());
  STRCMP_EQUAL("", Problems("\xef\xbb\xbf" + std::string(kFullBundle)).c_str());
  STRCMP_EQUAL("1 syntax ", Problems("\u037b9 = 1\n").c_str());
  STRCMP_EQUAL("1 syntax ", Problems("a\u00e5 = 1\n").c_str());
  STRCMP_EQUAL("2 syntax ", Problems("a = 1\nb = \u00e5\n").c_str());
  STRCMP_EQUAL("1 syntax ", Problems("\xc3 = 1\n").c_str());
  STRCMP_EQUAL("1 bad_value deployment",
               Problems(WithLine(1, "deployment = \"\u00e5\"")).c_str());
}

// Guards against a syntax error that is reported without its line.
TEST(bundle_parser, ReportsSyntaxWithLine) {
  STRCMP_EQUAL("2 syntax ", Problems("version = 1\ndeployment = \n").c_str());
  STRCMP_EQUAL("2 syntax ", Problems("version = 1\nversion = 2\n").c_str());
}

}  // namespace papayakeel
