// Tests of the check and the comparison of desired states: findings with their
// locations, and agreement with the parser of the daemon.
#include <algorithm>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <nlohmann/json.hpp>

#include "platform/entry_codec.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel::platform {
namespace {

using nlohmann::json;
using code = state_finding::code;

// A state without findings, with members that the parser ignores.
constexpr char kState[] = R"({
  "version": 7, "note": "n",
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
             "header_timeout": "3s", "idle_timeout": "15s"},
  "listeners": [
    {"host": "a.example", "policy": [
      {"name": "r", "route_kind": "idempotent", "target_latency": "400ms",
       "priority": 2, "match": {"prefix": "/l/"},
       "action": {"timeout": "0.8s", "max_attempts": 3,
                  "traffic_split": [{"service": "s1", "weight": 90},
                                    {"service": "s2", "weight": 10}]}}]},
    {"host": "b.example", "policy": [
      {"route_kind": "nonidempotent", "target_latency": "1s", "priority": 0,
       "match": {"prefix": "/"},
       "action": {"timeout": "1s", "max_attempts": 1, "service": "s1"}}]}],
  "clusters": [
    {"name": "s1", "health_path": "/h", "max_conns": 4, "warmup": "3s",
     "warmup_per_s": 3.7},
    {"name": "s2", "health_path": "/h", "max_conns": 4}]})";

std::string Describe(const std::vector<state_finding>& findings) {
  std::string text;
  for (const state_finding& each : findings) {
    text += std::string(ToString(each.reason)) + " " + each.location;
    if (!each.shadowed_by.empty())
      text += " < " + each.shadowed_by;
    text += "\n";
  }
  return text;
}

std::string Check(const json& document) {
  return Describe(CheckDesiredState(document.dump()));
}

// Checks kState after the value at `pointer` is replaced.
std::string CheckWith(const char* pointer, const json& value) {
  json document = json::parse(kState);
  document[json::json_pointer(pointer)] = value;
  return Check(document);
}

std::string CheckWithout(const char* pointer) {
  json document = json::parse(kState);
  const json::json_pointer path(pointer);
  document[path.parent_pointer()].erase(path.back());
  return Check(document);
}

bool IsRefused(const std::vector<state_finding>& findings) {
  return std::any_of(findings.begin(), findings.end(),
                     [](const state_finding& each) {
                       return each.reason == code::kNotReadable;
                     });
}

state_difference Compare(const json& before, const json& after) {
  const tl::expected<described_state, std::vector<state_finding>> old_state =
      DescribeDesiredState(before.dump());
  const tl::expected<described_state, std::vector<state_finding>> new_state =
      DescribeDesiredState(after.dump());
  CHECK(old_state.has_value());
  CHECK(new_state.has_value());
  return CompareStates(*old_state, *new_state);
}

std::string Describe(const std::vector<field_difference>& fields) {
  std::string text;
  for (const field_difference& each : fields) {
    text += "  " + each.field + " " + each.before.value_or("-") + " " +
            each.after.value_or("-") + "\n";
  }
  return text;
}

std::string Describe(const std::vector<entry_difference>& entries) {
  std::string text;
  for (const entry_difference& each : entries) {
    text +=
        each.name + " " + ToString(each.change) + "\n" + Describe(each.fields);
  }
  return text;
}

}  // namespace

TEST_GROUP(state_check){};

// Guards against findings about a valid state, in particular about members that
// the parser ignores.
TEST(state_check, AcceptsValidState) {
  STRCMP_EQUAL("", Check(json::parse(kState)).c_str());
}

// Guards against a member that the parser refuses and the check accepts, or
// that is reported with another location.
TEST(state_check, LocatesEachUnreadableMember) {
  const std::vector<std::pair<const char*, const char*>> members = {
      {"/version", "version"},
      {"/limits/max_header_bytes", "limits.max_header_bytes"},
      {"/limits/max_body_bytes", "limits.max_body_bytes"},
      {"/limits/header_timeout", "limits.header_timeout"},
      {"/limits/idle_timeout", "limits.idle_timeout"},
      {"/listeners", "listeners"},
      {"/listeners/1/host", "listeners[1].host"},
      {"/listeners/1/policy", "listeners[1].policy"},
      {"/listeners/1/policy/0/match", "listeners[1].policy[0].match"},
      {"/listeners/1/policy/0/match/prefix",
       "listeners[1].policy[0].match.prefix"},
      {"/listeners/1/policy/0/route_kind", "listeners[1].policy[0].route_kind"},
      {"/listeners/1/policy/0/target_latency",
       "listeners[1].policy[0].target_latency"},
      {"/listeners/1/policy/0/priority", "listeners[1].policy[0].priority"},
      {"/listeners/1/policy/0/action", "listeners[1].policy[0].action"},
      {"/listeners/1/policy/0/action/timeout",
       "listeners[1].policy[0].action.timeout"},
      {"/listeners/1/policy/0/action/max_attempts",
       "listeners[1].policy[0].action.max_attempts"},
      {"/listeners/1/policy/0/action/service",
       "listeners[1].policy[0].action.service"},
      {"/listeners/0/policy/0/action/traffic_split/1/weight",
       "listeners[0].policy[0].action.traffic_split[1].weight"},
      {"/listeners/0/policy/0/action/traffic_split/1/service",
       "listeners[0].policy[0].action.traffic_split[1].service"},
      {"/clusters", "clusters"},
      {"/clusters/1/name", "clusters[1].name"},
      {"/clusters/1/health_path", "clusters[1].health_path"},
      {"/clusters/1/max_conns", "clusters[1].max_conns"},
  };
  for (const auto& [pointer, location] : members) {
    const std::string expected = std::string("not_readable ") + location + "\n";
    STRCMP_EQUAL(expected.c_str(), CheckWithout(pointer).c_str());
  }
  STRCMP_EQUAL("not_readable clusters[0].warmup_per_s\n",
               CheckWith("/clusters/0/warmup_per_s", -1).c_str());
  STRCMP_EQUAL("not_readable listeners[1].policy[0].action.timeout\n",
               CheckWith("/listeners/1/policy/0/action/timeout", "1m").c_str());
  STRCMP_EQUAL("not_readable \n",
               Describe(CheckDesiredState("{\"version\":")).c_str());
}

// Guards against a check that ends at the first finding, and against warnings
// that hide errors.
TEST(state_check, ReportsAllFindings) {
  json document = json::parse(kState);
  document["version"] = "7";
  document["limits"]["header_timeout"] = "20s";
  json& first = document["listeners"][0]["policy"][0];
  first["priority"] = 0.5;
  first["action"]["timeout"] = "300ms";
  first["action"]["traffic_split"][1]["service"] = "s3";
  document["listeners"][1]["policy"][0]["match"]["prefix"] = "/x";
  document["clusters"][1]["max_conns"] = -1;
  STRCMP_EQUAL(
      "not_readable version\n"
      "not_readable listeners[0].policy[0].priority\n"
      "not_readable clusters[1].max_conns\n"
      "undefined_service "
      "listeners[0].policy[0].action.traffic_split[1].service\n"
      "bad_prefix listeners[1].policy[0].match.prefix\n"
      "contradiction listeners[0].policy[0].target_latency\n"
      "contradiction limits.header_timeout\n",
      Check(document).c_str());
}

// Guards against a reference to a missing service that is not reported, and
// against false reports while the services are not all known.
TEST(state_check, FindsUndefinedServices) {
  STRCMP_EQUAL("undefined_service listeners[1].policy[0].action.service\n",
               CheckWith("/listeners/1/policy/0/action/service", "s").c_str());
  json document = json::parse(kState);
  document["listeners"][1]["policy"][0]["action"]["service"] = "s";
  document["clusters"][0]["name"] = "";
  STRCMP_EQUAL("not_readable clusters[0].name\n", Check(document).c_str());
}

// Guards against prefixes that the route table never finds.
TEST(state_check, FindsBadPrefixes) {
  for (const char* prefix : {"l/", "/l", "l"}) {
    STRCMP_EQUAL(
        "bad_prefix listeners[0].policy[0].match.prefix\n",
        CheckWith("/listeners/0/policy/0/match/prefix", prefix).c_str());
  }
  for (const char* prefix : {"/?l/", "/#/"}) {
    STRCMP_EQUAL(
        "never_matches listeners[0].policy[0].match.prefix\n",
        CheckWith("/listeners/0/policy/0/match/prefix", prefix).c_str());
  }
}

// Guards against naming the wrong one of two entries. The last one is in
// effect, and hosts are compared without case and port.
TEST(state_check, FindsShadowedEntries) {
  json document = json::parse(kState);
  json listener = document["listeners"][0];
  listener["host"] = "A.Example:80";
  document["listeners"].push_back(listener);
  document["clusters"].push_back(document["clusters"][0]);
  STRCMP_EQUAL(
      "never_matches clusters[0] < clusters[2]\n"
      "never_matches listeners[0].policy[0] < listeners[2].policy[0]\n",
      Check(document).c_str());
}

// Guards against splits that send nothing to a target unnoticed, and against a
// second finding for a split that consists of one invalid part.
TEST(state_check, FindsWeightsOfZero) {
  const char* split = "/listeners/0/policy/0/action/traffic_split";
  const std::string location = "listeners[0].policy[0].action.traffic_split";
  STRCMP_EQUAL(("zero_weight " + location + "[0].weight\n").c_str(),
               CheckWith(split, {{{"service", "s1"}, {"weight", 0}},
                                 {{"service", "s2"}, {"weight", 1}}})
                   .c_str());
  STRCMP_EQUAL(("not_readable " + location + "\nzero_weight " + location +
                "[0].weight\n")
                   .c_str(),
               CheckWith(split, {{{"service", "s1"}, {"weight", 0}}}).c_str());
  STRCMP_EQUAL(("not_readable " + location + "\n").c_str(),
               CheckWith(split, json::array()).c_str());
  STRCMP_EQUAL(("not_readable " + location + "[0].weight\n").c_str(),
               CheckWith(split, {{{"service", "s1"}, {"weight", -1}}}).c_str());
}

// Guards against limits that are equal and reported, or contradict each other
// and are not.
TEST(state_check, FindsContradictions) {
  STRCMP_EQUAL(
      "contradiction listeners[1].policy[0].target_latency\n",
      CheckWith("/listeners/1/policy/0/target_latency", "1001ms").c_str());
  STRCMP_EQUAL("", CheckWith("/limits/header_timeout", "15000ms").c_str());
  STRCMP_EQUAL("contradiction limits.header_timeout\n",
               CheckWith("/limits/header_timeout", "15001ms").c_str());
  const std::string attempts =
      "contradiction listeners[0].policy[0].action.max_attempts\n";
  for (const char* kind : {"nonidempotent", "upload"}) {
    STRCMP_EQUAL(attempts.c_str(),
                 CheckWith("/listeners/0/policy/0/route_kind", kind).c_str());
  }
}

// Guards against a state that the check accepts and the daemon refuses, or the
// other way round, and against another first finding.
TEST(state_check, AgreesWithDaemon) {
  const std::vector<json> odd = {nullptr,
                                 true,
                                 0,
                                 -1,
                                 0.5,
                                 1e300,
                                 4294967297,
                                 "",
                                 "1s",
                                 "1e13s",
                                 "-1s",
                                 "/x/",
                                 "s1",
                                 "s 9",
                                 0.0,
                                 json::array(),
                                 json::object(),
                                 json::array({json::object()}),
                                 json::array({1})};
  int refused = 0;
  int accepted = 0;
  CHECK(rc::check("mutated documents", [&] {
    json document = json::parse(kState);
    for (int count = *rc::gen::inRange(1, 4); count > 0; --count) {
      std::vector<std::string> paths;
      const json leaves = document.flatten();
      for (const auto& leaf : leaves.items())
        paths.push_back(leaf.key());
      // An empty document has no members to change.
      if (paths.empty())
        break;
      json::json_pointer path(*rc::gen::elementOf(paths));
      for (int up = *rc::gen::inRange(0, 3); up > 0; --up)
        path = path.parent_pointer();
      const bool is_removed = !path.empty() && *rc::gen::arbitrary<bool>() &&
                              document[path.parent_pointer()].is_object();
      if (is_removed)
        document[path.parent_pointer()].erase(path.back());
      else
        document[path] = *rc::gen::elementOf(odd);
    }
    std::string text = document.dump();
    if (*rc::gen::inRange(0, 20) == 0)
      text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
    const tl::expected<desired_state, malformed_entry> decoded =
        DecodeDesiredState(text);
    const std::vector<state_finding> findings = CheckDesiredState(text);
    RC_ASSERT(decoded.has_value() == !IsRefused(findings));
    RC_ASSERT(decoded.has_value() == DescribeDesiredState(text).has_value());
    ++(decoded.has_value() ? accepted : refused);
    if (decoded.has_value() || findings[0].location.empty())
      return;
    const std::string& location = findings[0].location;
    const std::string field = location.substr(location.find_last_of('.') + 1);
    RC_ASSERT(decoded.error().reason == field);
  }));
  // The property says nothing if all documents are of one sort.
  CHECK(refused > 0);
  CHECK(accepted > 0);
}

TEST_GROUP(state_diff){};

// Guards against differences of notation that are reported as changes.
TEST(state_diff, IgnoresNotation) {
  const json before = json::parse(kState);
  json after = before;
  after["version"] = 8;
  after["limits"]["header_timeout"] = "3000ms";
  after["listeners"][0]["host"] = "A.example";
  after["clusters"][1]["max_conns"] = 4.0;
  std::swap(after["listeners"][0], after["listeners"][1]);
  const state_difference difference = Compare(before, after);
  CHECK_FALSE(difference.has_changes());
  CHECK(difference.is_version_higher());
  CHECK_FALSE(Compare(before, before).is_version_higher());
  CHECK_FALSE(Compare(after, before).is_version_higher());
}

// Guards against a difference that is left out, also in members that the parser
// ignores.
TEST(state_diff, ReportsEachField) {
  const json before = json::parse(kState);
  json after = before;
  after["limits"]["idle_timeout"] = "20s";
  json& route = after["listeners"][0]["policy"][0];
  route["priority"] = 1;
  route["action"]["traffic_split"].erase(1);
  after["listeners"][1]["policy"][0]["match"]["prefix"] = "/b/";
  after["clusters"][0]["warmup"] = "4s";
  after["clusters"][0].erase("warmup_per_s");
  after["clusters"][1]["name"] = "s3";
  const state_difference difference = Compare(before, after);
  STRCMP_EQUAL(
      "a.example /l/ changed\n"
      "  action.traffic_split[1].service s2 -\n"
      "  action.traffic_split[1].weight 10 -\n"
      "  priority 2 1\n"
      "b.example /b/ added\n"
      "b.example / removed\n",
      Describe(difference.routes).c_str());
  STRCMP_EQUAL(
      "s1 changed\n  warmup 3s 4s\n  warmup_per_s 3.7 -\n"
      "s3 added\ns2 removed\n",
      Describe(difference.services).c_str());
  STRCMP_EQUAL("  idle_timeout 15s 20s\n", Describe(difference.limits).c_str());
}

// Guards against a comparison with an entry that is not in effect.
TEST(state_diff, ComparesEntriesInEffect) {
  const json before = json::parse(kState);
  json after = before;
  json listener = before["listeners"][0];
  after["listeners"][0]["policy"][0]["priority"] = 9;
  after["listeners"].push_back(listener);
  CHECK_FALSE(Compare(before, after).has_changes());
  listener["policy"][0]["priority"] = 5;
  after["listeners"].push_back(listener);
  STRCMP_EQUAL("a.example /l/ changed\n  priority 2 5\n",
               Describe(Compare(before, after).routes).c_str());
}

// Guards against leaving out a route that no path matches, which the operator
// would take for an unchanged one.
TEST(state_diff, ComparesUnmatchablePrefixes) {
  json before = json::parse(kState);
  json after = before;
  after["listeners"][0]["policy"][0]["match"]["prefix"] = "/l";
  STRCMP_EQUAL("a.example /l added\na.example /l/ removed\n",
               Describe(Compare(before, after).routes).c_str());
  before = after;
  after["listeners"][0]["policy"][0]["priority"] = 9;
  STRCMP_EQUAL("a.example /l changed\n  priority 2 9\n",
               Describe(Compare(before, after).routes).c_str());
}

// Guards against a stack overflow in members that the parser ignores.
TEST(state_diff, ReadsDeeplyNestedMembers) {
  constexpr std::size_t depth = 20'000;
  std::string text = kState;
  const std::string nested =
      std::string(depth, '[') + "0" + std::string(depth, ']');
  text.replace(text.find("\"r\""), 3, nested);
  CHECK(CheckDesiredState(text).empty());
  CHECK(DescribeDesiredState(text).has_value());
}

}  // namespace papayakeel::platform
