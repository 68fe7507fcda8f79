// Tests of parsing and validating process settings.
#include "servers/settings/settings_parser.h"

#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

// Valid settings in which every setting differs from its default.
constexpr char kFullSettings[] = R"([process]
deployment = "norrsken"
availability_zone = "sve-mitt-a"
[log]
level = "warning"
[callers]
listen = "0.0.0.0:8080"
advertise = "10.1.0.1:80"
connection_limit = 100
buffered_bytes_limit = 4194304
read_timeout_ms = 5000
[operators]
listen = "10.1.0.1:9000"
token = "0123456789abcdef"
[peers]
listen = "0.0.0.0:9100"
advertise = "10.1.0.1:9101"
seeds = ["10.1.0.2:9100", "[fd00::1]:9100"]
fleet_key = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
[platform]
configuration_service = "10.2.0.1:2000"
bundle_key = "norrsken-bundle"
vm_list = "10.2.0.2:2001"
[bundle]
minimum_version = 41
serve_alone = true
peer_wait_ms = 2000
[bundle.trusted_keys]
anna = "D75A980182B10AB7D54BFED3C964073A0EE172F3DAA62325AF021A68F707511A"
bertil = "3d4017c3e843895a92b70aa74d1b7ebc9c982ccf2ec4968cc0cd55f12af4660c"
[shutdown]
grace_ms = 1000
)";

std::string WithLine(int line, const std::string& replacement) {
  std::istringstream lines(kFullSettings);
  std::string text;
  std::string result;
  for (int number = 1; std::getline(lines, text); ++number)
    result += (number == line ? replacement : text) + "\n";
  return result;
}

// Returns one line per problem, in the form "LINE CODE KEY".
std::string Problems(const std::string& text) {
  const tl::expected<process_settings, std::vector<settings_error>> parsed =
      ParseSettings(text, "test.toml");
  std::string list;
  if (parsed)
    return list;
  for (const settings_error& each : parsed.error()) {
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

TEST_GROUP(settings_parser){};

// Guards against a setting that is stored in the wrong field or ignored.
TEST(settings_parser, ReadsEverySetting) {
  const process_settings read = *ParseSettings(kFullSettings, "test.toml");
  STRCMP_EQUAL("norrsken", read.deployment.c_str());
  STRCMP_EQUAL("sve-mitt-a", read.availability_zone.c_str());
  STRCMP_EQUAL("warning", read.log_level.c_str());
  STRCMP_EQUAL("0.0.0.0:8080", read.caller_listen.ToString().c_str());
  STRCMP_EQUAL("10.1.0.1:80", read.caller_advertise.ToString().c_str());
  LONGS_EQUAL(100, read.caller_connection_limit);
  LONGS_EQUAL(4194304, read.buffered_bytes_limit);
  LONGS_EQUAL(5000, read.read_timeout.count());
  STRCMP_EQUAL("10.1.0.1:9000", read.operator_listen.ToString().c_str());
  STRCMP_EQUAL("0123456789abcdef", read.operator_token.c_str());
  STRCMP_EQUAL("0.0.0.0:9100", read.peer_listen.ToString().c_str());
  STRCMP_EQUAL("10.1.0.1:9101", read.peer_advertise.ToString().c_str());
  LONGS_EQUAL(2, read.peer_seeds.size());
  STRCMP_EQUAL("[fd00::1]:9100", read.peer_seeds[1].ToString().c_str());
  LONGS_EQUAL(64, read.fleet_key.size());
  STRCMP_EQUAL("10.2.0.1:2000", read.configuration_service.ToString().c_str());
  STRCMP_EQUAL("norrsken-bundle", read.bundle_key.c_str());
  STRCMP_EQUAL("10.2.0.2:2001", read.vm_list.ToString().c_str());
  LONGS_EQUAL(2, read.trusted_keys.size());
  STRCMP_EQUAL(
      "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a",
      read.trusted_keys.at("anna").c_str());
  LONGS_EQUAL(41, read.minimum_bundle_version);
  CHECK(read.serve_alone);
  LONGS_EQUAL(2000, read.peer_wait.count());
  LONGS_EQUAL(1000, read.shutdown_grace.count());
}

// Guards against a parser that overwrites the defaults of absent settings.
TEST(settings_parser, KeepsDefaults) {
  std::string text = WithLine(4, "");
  for (const char* optional :
       {"level", "advertise = \"10.1.0.1:80\"", "connection_limit",
        "buffered_bytes_limit", "read_timeout_ms",
        "advertise = \"10.1.0.1:9101\"", "seeds", "bundle_key",
        "minimum_version", "serve_alone", "peer_wait_ms", "[shutdown]",
        "grace_ms"}) {
    const std::size_t from = text.find(optional);
    text.erase(from, text.find('\n', from) - from);
  }
  for (const char* listen : {"0.0.0.0:8080", "0.0.0.0:9100"})
    text.replace(text.find(listen), 7, "10.1.0.1");
  const tl::expected<process_settings, std::vector<settings_error>> read =
      ParseSettings(text, "test.toml");
  STRCMP_EQUAL("", Problems(text).c_str());
  const process_settings defaults;
  STRCMP_EQUAL("info", read->log_level.c_str());
  CHECK(read->caller_advertise == read->caller_listen);
  CHECK(read->peer_advertise == read->peer_listen);
  CHECK(read->peer_seeds.empty());
  STRCMP_EQUAL("bundle", read->bundle_key.c_str());
  CHECK_FALSE(read->serve_alone);
  LONGS_EQUAL(0, read->minimum_bundle_version);
  CHECK(read->caller_connection_limit == defaults.caller_connection_limit);
  CHECK(read->buffered_bytes_limit == defaults.buffered_bytes_limit);
  CHECK(read->read_timeout == defaults.read_timeout);
  CHECK(read->peer_wait == defaults.peer_wait);
  CHECK(read->shutdown_grace == defaults.shutdown_grace);
}

// Guards against an invalid setting that is not reported, is reported with the
// wrong line or code, or causes reports about unrelated settings.
TEST(settings_parser, ReportsEveryMutation) {
  const std::vector<mutation> mutations = {
      {1, "[proces]",
       "1 missing_key process.deployment\n"
       "1 missing_key process.availability_zone\n1 unknown_key proces"},
      {2, "", "1 missing_key process.deployment"},
      {2, "deployment = \"\"", "2 bad_value process.deployment"},
      {2, "deployment = 1", "2 bad_type process.deployment"},
      {3, "", "1 missing_key process.availability_zone"},
      {3, "availability_zone = \"a/b\"",
       "3 bad_value process.availability_zone"},
      {5, "level = \"verbose\"", "5 bad_value log.level"},
      {5, "level = 3", "5 bad_type log.level"},
      {5, "levle = \"info\"", "5 unknown_key log.levle"},
      {7, "", "6 missing_key callers.listen"},
      {7, "listen = \"0.0.0.0:0\"", "7 bad_value callers.listen"},
      {7, "listen = \"10.0.0.1\"", "7 bad_value callers.listen"},
      {7, "listen = \"localhost:80\"", "7 bad_value callers.listen"},
      {7, "listen = \"[10.0.0.1]:80\"", "7 bad_value callers.listen"},
      {7, "listen = \"10.0.0.1:65536\"", "7 bad_value callers.listen"},
      {7, "listen = 8080", "7 bad_type callers.listen"},
      {8, "", "7 contradiction callers.listen"},
      {8, "advertise = \"[::]:80\"", "8 bad_value callers.advertise"},
      {8, "advertise = \"10.0.0.1:0\"", "8 bad_value callers.advertise"},
      {9, "connection_limit = 0", "9 bad_value callers.connection_limit"},
      {9, "connection_limit = 1.5", "9 bad_type callers.connection_limit"},
      {10, "buffered_bytes_limit = 1000",
       "10 bad_value callers.buffered_bytes_limit"},
      {11, "read_timeout_ms = 99", "11 bad_value callers.read_timeout_ms"},
      {11, "read_timeout_ms = \"5s\"", "11 bad_type callers.read_timeout_ms"},
      {13, "", "12 missing_key operators.listen"},
      {13, "listen = \"10.1.0.1:8080\"", "13 contradiction operators.listen"},
      {14, "", "12 missing_key operators.token"},
      {14, "token = \"short\"", "14 bad_value operators.token"},
      {14, "token = \"0123456789 abcdef\"", "14 bad_value operators.token"},
      {16, "listen = \"10.1.0.1:8080\"", "16 contradiction peers.listen"},
      {16, "listen = \"10.1.0.1:9000\"", "16 contradiction peers.listen"},
      {17, "", "16 contradiction peers.listen"},
      {18, "seeds = \"10.1.0.2:9100\"", "18 bad_type peers.seeds"},
      {18, "seeds = [\"10.1.0.2:0\"]", "18 bad_value peers.seeds"},
      {18, "seeds = [\"10.1.0.2:1\", \"10.1.0.2:1\"]",
       "18 duplicate peers.seeds"},
      {19, "", "15 missing_key peers.fleet_key"},
      {19, "fleet_key = \"0011\"", "19 bad_value peers.fleet_key"},
      {21, "", "20 missing_key platform.configuration_service"},
      {21, "configuration_service = \"host:1\"",
       "21 bad_value platform.configuration_service"},
      {22, "bundle_key = \"a/b\"", "22 bad_value platform.bundle_key"},
      {23, "", "20 missing_key platform.vm_list"},
      {25, "minimum_version = -1", "25 bad_value bundle.minimum_version"},
      {26, "serve_alone = \"yes\"", "26 bad_type bundle.serve_alone"},
      {27, "peer_wait_ms = 3600001", "27 bad_value bundle.peer_wait_ms"},
      {28, "[bundle.trustedkeys]",
       "24 missing_key bundle.trusted_keys\n"
       "28 unknown_key bundle.trustedkeys"},
      {29, "anna = \"0102\"", "29 bad_value bundle.trusted_keys.anna"},
      {29,
       "anna = \"02000000000000000000000000000000"
       "00000000000000000000000000000000\"",
       "29 bad_value bundle.trusted_keys.anna"},
      {29,
       "anna = \"3D4017C3E843895A92B70AA74D1B7EBC"
       "9C982CCF2EC4968CC0CD55F12AF4660C\"",
       "30 duplicate bundle.trusted_keys.bertil"},
      {29, "anna = 5", "29 bad_type bundle.trusted_keys.anna"},
      {29, "\"an na\" = 5",
       "29 bad_type bundle.trusted_keys.an na\n"
       "29 bad_value bundle.trusted_keys.an na"},
      {32, "grace_ms = -1", "32 bad_value shutdown.grace_ms"},
      {32, "grace_ms = 1\nextra = 2", "33 unknown_key shutdown.extra"},
  };
  for (const mutation& each : mutations) {
    const std::string found = Problems(WithLine(each.line, each.replacement));
    STRCMP_EQUAL_TEXT(each.problem, found.c_str(), each.replacement);
  }
}

// Guards against a misspelled key or a value of the wrong type that is not
// reported. Each key of the full text in turn is renamed and given a date as
// its value, and then keeps its name with a date as its value.
TEST(settings_parser, ReportsEachKeyWithItsLine) {
  std::istringstream lines(kFullSettings);
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
  LONGS_EQUAL(23, mutated);
}

// Guards against secrets in error messages, which are written to logs.
TEST(settings_parser, KeepsSecretsOutOfMessages) {
  std::string text = WithLine(14, "token = \"s3cret-token\"");
  const std::size_t key = text.find("fleet_key = \"");
  text.insert(key + 13, "f");
  const std::vector<settings_error> errors =
      ParseSettings(text, "test.toml").error();
  LONGS_EQUAL(2, errors.size());
  STRCMP_EQUAL("test.toml", errors[0].file.c_str());
  STRCMP_EQUAL(
      "found a string of 12 characters, allowed: 16 to 512 visible ASCII "
      "characters",
      errors[0].detail.c_str());
  STRCMP_EQUAL(
      "found a string of 65 characters, allowed: 64 hexadecimal digits",
      errors[1].detail.c_str());
}

// Guards against accepting an empty file, and against a report that ends at the
// first missing section.
TEST(settings_parser, ReportsAllThatIsMissing) {
  STRCMP_EQUAL(
      "1 missing_key process.deployment\n"
      "1 missing_key process.availability_zone\n"
      "1 missing_key callers.listen\n"
      "1 missing_key operators.listen\n"
      "1 missing_key operators.token\n"
      "1 missing_key peers.listen\n"
      "1 missing_key peers.fleet_key\n"
      "1 missing_key platform.configuration_service\n"
      "1 missing_key platform.vm_list\n"
      "1 missing_key bundle.trusted_keys",
      Problems("").c_str());
  STRCMP_EQUAL("2 syntax ", Problems("[log]\nlevel = ").c_str());
}

}  // namespace papayakeel
