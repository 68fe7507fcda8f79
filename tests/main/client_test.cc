// Tests of the papayakeelctl commands: output, exit statuses and files.
#include "main/client/client.h"

#include <sys/stat.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include <nlohmann/json.hpp>

#include "tests/main/operator_stand_in.h"
#include "tests/servers/bundles/bundle_samples.h"

// Must be the last include, because it defines `new` as a macro.
#include "CppUTest/TestHarness.h"

namespace papayakeel {

using samples::MakeBundle;
using samples::Publish;

TEST_GROUP(client) {
  std::filesystem::path folder;
  std::ostringstream out;
  std::ostringstream error;

  void setup() override {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "client_test_XXXXXX");
    folder = mkdtemp(pattern.data());
    Write("bundle.toml", samples::kFullBundle);
    Write("token", std::string(operator_stand_in::kToken) + "\n");
  }

  void teardown() override {
    std::filesystem::remove_all(folder);
  }

  std::string Path(const std::string& name) const {
    return folder / name;
  }

  void Write(const std::string& name, const std::string& content) const {
    std::ofstream(Path(name), std::ios::binary) << content;
  }

  std::string Read(const std::string& name) const {
    std::ifstream file(Path(name), std::ios::binary);
    return std::string((std::istreambuf_iterator<char>(file)),
                       std::istreambuf_iterator<char>());
  }

  // Runs papayakeelctl and returns its exit status.
  int Run(const std::vector<std::string>& arguments) {
    out.str("");
    error.str("");
    return RunClient(arguments, client_output{out, error});
  }

  nlohmann::json RunJson(std::vector<std::string> arguments, int status) {
    arguments.emplace_back("--json");
    LONGS_EQUAL(status, Run(arguments));
    return nlohmann::json::parse(out.str());
  }

  void Generate(const std::string& id) {
    LONGS_EQUAL(kExitOk, Run({"key", "generate", "--id", id, "--secret-file",
                              Path(id + ".secret"), "--public-file",
                              Path(id + ".public")}));
  }

  // Returns the argument of --trusted for a generated key.
  std::string Trusted(const std::string& id) const {
    const std::string line = Read(id + ".public");
    const std::size_t value = line.find("= \"") + 3;
    return id + "=" + line.substr(value, 64);
  }

  int Sign(const std::string& id) {
    return Run({"bundle", "sign", Path("bundle.toml"), "--key",
                Path(id + ".secret"), "--key-id", id, "--output",
                Path("signed")});
  }

  static process_settings Settings() {
    process_settings settings;
    settings.deployment = "norrsken";
    for (const auto& [id, key] : samples::MakeTrust().keys)
      settings.trusted_keys[id] = KeyToHex(key);
    return settings;
  }

  std::vector<std::string> Ask(std::vector<std::string> arguments,
                               const std::vector<std::string>& addresses) {
    arguments.insert(arguments.end(), {"--token-file", Path("token")});
    for (const std::string& each : addresses)
      arguments.insert(arguments.end(), {"--address", each});
    return arguments;
  }
};

// Guards against a usage error that has the exit status of a negative result,
// which scripts would act on.
TEST(client, UsageErrorHasDistinctStatus) {
  const std::vector<std::vector<std::string>> commands = {
      {},
      {"unknown"},
      {"bundle"},
      {"bundle", "check"},
      {"bundle", "check", "a", "b"},
      {"bundle", "check", "--unknown", "a"},
      {"bundle", "check", Path("absent")},
      {"bundle", "sign", Path("bundle.toml"), "--key", "k", "--key-id", "i"},
      {"bundle", "verify", Path("bundle.toml")},
      {"bundle", "verify", Path("bundle.toml"), "--trusted", "anna=00"},
      {"bundle", "compare", Path("bundle.toml")},
      {"bundle", "compare", Path("bundle.toml"), Path("token")},
      {"key", "generate", "--id", "a b", "--secret-file", Path("s"),
       "--public-file", Path("p")},
      {"state", "check"},
      {"state", "check", "a", "b"},
      {"state", "diff", "a"},
      {"state", "--address", "127.0.0.1:1"},
      {"state", "--token-file", Path("token")},
      Ask({"state"}, {"localhost:80"}),
      Ask({"state"}, {"127.0.0.1:1", "127.0.0.1:1"}),
      Ask({"why"}, {"127.0.0.1:1"}),
      Ask({"why", "--service", "a&b"}, {"127.0.0.1:1"}),
      Ask({"rollout", "push"}, {"127.0.0.1:1"}),
      Ask({"rollout", "push", Path("bundle.toml")}, {"127.0.0.1:1"}),
      Ask({"rollout", "watch"}, {"127.0.0.1:1"}),
      Ask({"rollout", "watch", "--version", "0"}, {"127.0.0.1:1"}),
      Ask({"rollout", "watch", "--version", "1x"}, {"127.0.0.1:1"}),
  };
  for (const std::vector<std::string>& each : commands) {
    LONGS_EQUAL(kExitUsage, Run(each));
    CHECK(!error.str().empty());
    STRCMP_EQUAL("", out.str().c_str());
  }
}

// Guards against a command without help, and against a failure status after
// --help.
TEST(client, EveryCommandHasHelp) {
  LONGS_EQUAL(kExitOk, Run({"--version"}));
  STRCMP_CONTAINS("papayakeelctl ", out.str().c_str());
  LONGS_EQUAL(kExitOk, Run({"--help"}));
  const std::vector<std::vector<std::string>> commands = {{"key", "generate"},
                                                          {"bundle", "check"},
                                                          {"bundle", "sign"},
                                                          {"bundle", "verify"},
                                                          {"bundle", "compare"},
                                                          {"state", "check"},
                                                          {"state", "diff"},
                                                          {"state"},
                                                          {"why"},
                                                          {"rollout", "push"},
                                                          {"rollout", "watch"}};
  for (std::vector<std::string> each : commands) {
    each.emplace_back("--help");
    LONGS_EQUAL(kExitOk, Run(each));
    STRCMP_CONTAINS("--json", out.str().c_str());
  }
}

// Guards against a secret key file that other users can read, that is
// overwritten, or whose secret is printed.
TEST(client, ProtectsSecretKeys) {
  Generate("anna");
  struct stat status {};
  LONGS_EQUAL(0, stat(Path("anna.secret").c_str(), &status));
  LONGS_EQUAL(0600, status.st_mode & 07777);
  const std::string before = Read("anna.secret");
  LONGS_EQUAL(kExitUsage,
              Run({"key", "generate", "--id", "anna", "--secret-file",
                   Path("anna.secret"), "--public-file", Path("other")}));
  STRCMP_EQUAL(before.c_str(), Read("anna.secret").c_str());
  CHECK(out.str().find(before.substr(5, 64)) == std::string::npos);
}

// Guards against a path of a directory that ends the program.
TEST(client, DirectoryIsUnreadable) {
  LONGS_EQUAL(kExitUsage, Run({"bundle", "check", folder}));
  STRCMP_CONTAINS("cannot be read", error.str().c_str());
}

// Guards against a signed bundle that fails verification, and against
// verification that accepts an unknown signer, a wrong key or altered bytes.
TEST(client, SignsAndVerifies) {
  Generate("anna");
  Generate("bertil");
  LONGS_EQUAL(kExitOk, Sign("anna"));
  const std::vector<std::string> verify = {"bundle", "verify", Path("signed"),
                                           "--trusted", Trusted("anna")};
  const nlohmann::json verified = RunJson(verify, kExitOk);
  CHECK(verified["ok"] == true);
  CHECK(verified["version"] == 7);
  CHECK(verified["key_id"] == "anna");
  LONGS_EQUAL(kExitNegative, Run({"bundle", "verify", Path("signed"),
                                  "--trusted", Trusted("bertil")}));
  STRCMP_CONTAINS("unknown_signer", error.str().c_str());
  std::string wrong_key = Trusted("bertil");
  wrong_key.replace(0, 6, "anna");
  LONGS_EQUAL(kExitNegative, Run({"bundle", "verify", Path("signed"),
                                  "--trusted", wrong_key}));
  STRCMP_CONTAINS("bad_signature", error.str().c_str());
  std::string altered = Read("signed");
  altered[altered.size() / 2] ^= 1;
  Write("signed", altered);
  const nlohmann::json refused = RunJson(verify, kExitNegative);
  CHECK(refused["ok"] == false);
}

// Guards against signing with a key id that differs from the id in the key
// file, which every process would refuse, and against signing an invalid
// bundle.
TEST(client, RefusesToSignUnacceptableBundles) {
  Generate("anna");
  LONGS_EQUAL(kExitUsage, Run({"bundle", "sign", Path("bundle.toml"), "--key",
                               Path("anna.secret"), "--key-id", "bertil",
                               "--output", Path("signed")}));
  Write("bundle.toml", "deployment = \"norrsken\"\nversion = 0\n");
  LONGS_EQUAL(kExitUsage, Sign("anna"));
  STRCMP_CONTAINS("bundle.toml:2: bad_value: version", error.str().c_str());
  CHECK_FALSE(std::filesystem::exists(Path("signed")));
}

// Guards against problems that are reported without file and line.
TEST(client, ChecksBundles) {
  LONGS_EQUAL(kExitOk, Run({"bundle", "check", Path("bundle.toml")}));
  Write("bundle.toml", "deployment = \"norrsken\"\nversion = 0\n");
  LONGS_EQUAL(kExitNegative, Run({"bundle", "check", Path("bundle.toml")}));
  STRCMP_CONTAINS("bundle.toml:2: bad_value: version: found 0, allowed: ",
                  error.str().c_str());
  const nlohmann::json checked =
      RunJson({"bundle", "check", Path("bundle.toml")}, kExitNegative);
  LONGS_EQUAL(2, checked["problems"].size());
  CHECK(checked["problems"][0]["line"] == 1);
  CHECK(checked["problems"][0]["code"] == "missing_key");
}

// Guards against a difference that is not reported: a changed value, a changed
// list, an added class, or the order of classes.
TEST(client, ComparesBundles) {
  Generate("anna");
  LONGS_EQUAL(kExitOk, Sign("anna"));
  LONGS_EQUAL(kExitOk,
              Run({"bundle", "compare", Path("bundle.toml"), Path("signed")}));
  bundle changed = MakeBundle(8);
  std::vector<work_class>& classes = changed.services[0].classes;
  classes[0].patience = std::chrono::milliseconds(6000);
  classes[0].not_run_statuses = {503};
  work_class first = classes[0];
  first.name = "first";
  first.path_prefix = "/first";
  classes.insert(classes.begin(), first);
  Write("changed", Publish(changed));
  const nlohmann::json compared =
      RunJson({"bundle", "compare", Path("bundle.toml"), Path("changed")},
              kExitNegative);
  std::string differences;
  for (const nlohmann::json& each : compared["differences"]) {
    const std::string key = each["key"];
    if (key.find("class.first.") != std::string::npos)
      continue;
    differences += key + " " + each["before"].get<std::string>() + " " +
                   each["after"].get<std::string>() + "\n";
  }
  STRCMP_EQUAL(
      "service.bokning.class [\"book\",\"lookup\"] "
      "[\"first\",\"book\",\"lookup\"]\n"
      "service.bokning.class.book.not_run_statuses [409,503] [503]\n"
      "service.bokning.class.book.patience_ms 5000 6000\n"
      "service.bokning.queue_limit 99 100\n"
      "version 7 8\n",
      differences.c_str());
  LONGS_EQUAL(kExitNegative,
              Run({"bundle", "compare", Path("bundle.toml"), Path("changed")}));
  STRCMP_CONTAINS("(absent)", out.str().c_str());
  std::swap(classes[0], classes[1]);
  Write("reordered", Publish(changed));
  const nlohmann::json reordered = RunJson(
      {"bundle", "compare", Path("changed"), Path("reordered")}, kExitNegative);
  LONGS_EQUAL(1, reordered["differences"].size());
  CHECK(reordered["differences"][0]["key"] == "service.bokning.class");
}

// Guards against an unreachable process, or one that refuses the token, that is
// not reported when other processes reply.
TEST(client, ShowsState) {
  operator_stand_in process(Settings());
  std::string stopped_address;
  {
    const operator_stand_in stopped(Settings());
    stopped_address = stopped.address();
  }
  LONGS_EQUAL(kExitOk, Run(Ask({"state"}, {process.address()})));
  const nlohmann::json state = RunJson(
      Ask({"state"}, {process.address(), stopped_address}), kExitNegative);
  CHECK(state["processes"][0]["address"] == process.address());
  CHECK(state["processes"][0]["state"]["bundles"]["version"] == 0);
  CHECK(state["processes"][1]["unreachable"] == "connect_failed");
  Write("token", "another token\n");
  const nlohmann::json refused =
      RunJson(Ask({"state"}, {process.address()}), kExitNegative);
  CHECK(refused["processes"][0]["status"] == 401);
}

// Guards against a reply about a service that is not printed, and against an
// error reply that is reported as a success.
TEST(client, ShowsReasons) {
  operator_stand_in process(Settings());
  LONGS_EQUAL(kExitOk,
              Run(Ask({"why", "--service", "bokning"}, {process.address()})));
  STRCMP_CONTAINS("endpoints.10.0.0.1:80.state  suspect", out.str().c_str());
  const nlohmann::json unknown = RunJson(
      Ask({"why", "--service", "unknown"}, {process.address()}), kExitNegative);
  CHECK(unknown["processes"][0]["answer"]["code"] == "unknown_service");
}

// Guards against a push that is reported as successful although a process
// refused the bundle, and against a refusal that is reported without its code.
TEST(client, PushesBundles) {
  operator_stand_in first(Settings());
  process_settings strict = Settings();
  strict.minimum_bundle_version = 5;
  operator_stand_in second(strict);
  const std::vector<std::string> both = {first.address(), second.address()};
  Write("low", Publish(MakeBundle(4)));
  Write("high", Publish(MakeBundle(5)));
  const nlohmann::json partial =
      RunJson(Ask({"rollout", "push", Path("low")}, both), kExitNegative);
  CHECK(partial["processes"][0]["in_force"] == true);
  CHECK(partial["processes"][0]["changed"] == true);
  CHECK(partial["processes"][1]["answer"]["code"] == "below_minimum");
  LONGS_EQUAL(kExitOk, Run(Ask({"rollout", "push", Path("high")}, both)));
  LONGS_EQUAL(kExitOk, Run(Ask({"rollout", "push", Path("high")}, both)));
  STRCMP_CONTAINS("was in force already", out.str().c_str());
}

// Guards against a watch that succeeds before the last process has the bundle,
// and against one that does not detect the bundle.
TEST(client, WatchesRollout) {
  operator_stand_in first(Settings());
  operator_stand_in second(Settings());
  const std::vector<std::string> both = {first.address(), second.address()};
  first.OfferLater(Publish(MakeBundle(3)), std::chrono::milliseconds(0));
  LONGS_EQUAL(
      kExitOk,
      Run(Ask({"rollout", "watch", "--version", "3", "--timeout-ms", "60000"},
              {first.address()})));
  const nlohmann::json waiting =
      RunJson(Ask({"rollout", "watch", "--version", "3", "--timeout-ms", "300",
                   "--interval-ms", "10"},
                  both),
              kExitNegative);
  CHECK(waiting["done"] == false);
  CHECK(waiting["processes"][1]["taken_after_ms"].is_null());
  second.OfferLater(Publish(MakeBundle(3)), std::chrono::milliseconds(50));
  const nlohmann::json done =
      RunJson(Ask({"rollout", "watch", "--version", "3", "--timeout-ms",
                   "60000", "--interval-ms", "10"},
                  both),
              kExitOk);
  CHECK(done["processes"][1]["taken_after_ms"].is_number_unsigned());
  CHECK(done["total_ms"] >= done["processes"][1]["taken_after_ms"]);
}

// Guards against a rollout that is reported as finished although processes have
// different contents of the same version.
TEST(client, WatchDetectsDifferentContents) {
  operator_stand_in first(Settings());
  operator_stand_in second(Settings());
  first.OfferLater(Publish(MakeBundle(3, 1)), std::chrono::milliseconds(0));
  second.OfferLater(Publish(MakeBundle(3, 2)), std::chrono::milliseconds(0));
  for (const operator_stand_in* each : {&first, &second}) {
    LONGS_EQUAL(
        kExitOk,
        Run(Ask({"rollout", "watch", "--version", "3", "--timeout-ms", "60000"},
                {each->address()})));
  }
  const std::vector<std::string> watch =
      Ask({"rollout", "watch", "--version", "3", "--timeout-ms", "300",
           "--interval-ms", "10"},
          {first.address(), second.address()});
  const nlohmann::json split = RunJson(watch, kExitNegative);
  CHECK(split["done"] == false);
}

// Guards against a file that cannot be read and has the exit status of a file
// with errors, or ends the program.
TEST(client, UnreadableStateHasDistinctStatus) {
  const std::string directory = folder;
  for (const std::string& each : {Path("absent"), directory}) {
    LONGS_EQUAL(kExitNegative, Run({"state", "check", each}));
    STRCMP_CONTAINS("cannot be read", error.str().c_str());
    LONGS_EQUAL(kExitNegative, Run({"state", "diff", Path("token"), each}));
    STRCMP_CONTAINS("cannot be read", error.str().c_str());
    STRCMP_EQUAL("", out.str().c_str());
  }
}

// Guards against example bundles that the parser rejects.
TEST(client, ExamplesAreValid) {
  const std::string examples = PAPAYAKEEL_SOURCE_DIR "/misc/examples/";
  const nlohmann::json norrsken =
      RunJson({"bundle", "check", examples + "norrsken.toml"}, kExitOk);
  const nlohmann::json hsinyuan =
      RunJson({"bundle", "check", examples + "hsinyuan.toml"}, kExitOk);
  CHECK(norrsken["deployment"] == "norrsken");
  CHECK(hsinyuan["deployment"] == "hsinyuan");
  CHECK(norrsken["services"] == 3);
  CHECK(hsinyuan["services"] == 3);
}

}  // namespace papayakeel
