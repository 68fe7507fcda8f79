// Fails each test during which a process ended that nobody asked to.
#include <CppUTest/TestFailure.h>
#include <CppUTest/TestPlugin.h>
#include <CppUTest/TestRegistry.h>
#include <CppUTest/TestResult.h>

#include "tests/process/support/child_process.h"

namespace papayakeel {

namespace {

class unrequested_end_plugin : public TestPlugin {
 public:
  unrequested_end_plugin() : TestPlugin("unrequested_end_plugin") {
    TestRegistry::getCurrentRegistry()->installPlugin(this);
  }

  // Called once the test and its processes are gone.
  void postTestAction(UtestShell& test, TestResult& result) override {
    for (const std::string& end : child_process::TakeUnrequestedEnds())
      result.addFailure(TestFailure(&test, end.c_str()));
  }
};

unrequested_end_plugin plugin;

}  // namespace

}  // namespace papayakeel
