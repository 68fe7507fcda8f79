// Tests of the papayakeelctl commands that read desired states: output and exit
// statuses.
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "main/client/client.h"

// Must be the last include, because it defines `new` as a macro.
#include "CppUTest/TestHarness.h"

namespace papayakeel {

TEST_GROUP(state_commands) {
  std::filesystem::path folder;
  std::ostringstream out;
  std::ostringstream error;

  void setup() override {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "state_commands_XXXXXX");
    folder = mkdtemp(pattern.data());
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
};

// Guards against an error that does not fail the check, a finding that is not
// printed, and JSON output without the findings.
TEST(state_commands, ChecksStates) {
  const std::string limits = R"("limits":{"max_header_bytes":1024,)"
                             R"("max_body_bytes":1024,"idle_timeout":"1s",)"
                             R"("header_timeout":"2s"})";
  const std::string lists = R"("listeners":[],"clusters":[])";
  Write("good", R"({"version":1,)" + lists + "}");
  LONGS_EQUAL(kExitOk, Run({"state", "check", Path("good")}));
  STRCMP_EQUAL((Path("good") + ": ok\n").c_str(), out.str().c_str());
  Write("warned", R"({"version":1,)" + limits + "," + lists + "}");
  const nlohmann::json warned =
      RunJson({"state", "check", Path("warned")}, kExitOk);
  CHECK(warned["ok"] == true);
  CHECK(warned["findings"][0]["severity"] == "warning");
  CHECK(warned["findings"][0]["code"] == "contradiction");
  Write("bad", R"({"version":-1,)" + limits + R"(,"listeners":{}})");
  LONGS_EQUAL(kExitUsage, Run({"state", "check", Path("bad")}));
  const std::string bad = Path("bad");
  STRCMP_EQUAL((bad +
                ": error: version: is not a whole number from 0 to "
                "18446744073709551615\n" +
                bad + ": error: listeners: is not a list\n" + bad +
                ": error: clusters: is missing\n" + bad +
                ": warning: limits.header_timeout: is longer than "
                "limits.idle_timeout\n")
                   .c_str(),
               error.str().c_str());
  const nlohmann::json checked = RunJson({"state", "check", bad}, kExitUsage);
  CHECK(checked["ok"] == false);
  LONGS_EQUAL(4, checked["findings"].size());
  CHECK(checked["findings"][1]["location"] == "listeners");
}

// Guards against a difference that is not printed, and against an invalid state
// or a version that is not higher that is reported as a success.
TEST(state_commands, ComparesStates) {
  const std::string cluster = R"({"max_conns":1,"health_path":"/","name":)";
  Write("old", R"({"version":3,"listeners":[],"clusters":[)" + cluster +
                   R"("a","warmup":"3s"}]})");
  Write("new", R"({"version":4,"listeners":[],"clusters":[)" + cluster +
                   R"("a","warmup":"4s"},)" + cluster + R"("b"}]})");
  Write("bad", R"({"version":5})");
  LONGS_EQUAL(kExitOk, Run({"state", "diff", Path("old"), Path("new")}));
  STRCMP_EQUAL(
      "version: 3 -> 4\nservice a: changed\n  warmup: 3s -> 4s\n"
      "service b: added\n",
      out.str().c_str());
  const nlohmann::json compared =
      RunJson({"state", "diff", Path("old"), Path("new")}, kExitOk);
  CHECK(compared["same"] == false);
  CHECK(compared["services"][0]["fields"][0]["after"] == "4s");
  CHECK(compared["services"][1]["change"] == "added");
  LONGS_EQUAL(kExitUsage, Run({"state", "diff", Path("new"), Path("old")}));
  STRCMP_CONTAINS("version: is not higher", error.str().c_str());
  STRCMP_CONTAINS("service b: removed", out.str().c_str());
  const nlohmann::json equal =
      RunJson({"state", "diff", Path("old"), Path("old")}, kExitUsage);
  CHECK(equal["version"]["higher"] == false);
  CHECK(equal["same"] == true);
  LONGS_EQUAL(kExitUsage, Run({"state", "diff", Path("bad"), Path("new")}));
  STRCMP_CONTAINS("bad: error: listeners: is missing", error.str().c_str());
  const nlohmann::json refused =
      RunJson({"state", "diff", Path("old"), Path("bad")}, kExitUsage);
  CHECK(refused["ok"] == false);
  LONGS_EQUAL(2, refused["problems"][0]["findings"].size());
}

}  // namespace papayakeel
