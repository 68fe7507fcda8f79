// Faults that can be switched on in the server stand-in while it runs.
#ifndef MISC_STAND_INS_SERVER_FAULT_SWITCHES_H_
#define MISC_STAND_INS_SERVER_FAULT_SWITCHES_H_

#include <chrono>

#include <nlohmann/json.hpp>

namespace papayakeel {

// How the next answers are spoiled.
enum class answer_fault {
  kNone,
  kCloseEarly,   // Half of the body, then the connection ends.
  kWrongLength,  // Content-Length promises more than is sent; stays open.
  kTwice,        // The whole answer a second time, right behind the first.
  kCrossed,      // Carries the id and body of another request.
  kNoFraming,    // Neither length nor chunks; ends with the connection.
};

struct fault_switches {
  double slowdown = 1;                // Factor on every work time.
  bool fails_fast = false;            // 500 at once, without running.
  bool sheds = false;                 // 503 at once, without running.
  bool is_draining = false;           // Marks answers; keeps what it has.
  bool reports_idle = false;          // Load report and health always say idle.
  std::chrono::milliseconds late{0};  // Holds back finished answers.
  answer_fault answer = answer_fault::kNone;

  // Overwrites the members that `object` names. Returns false when a member
  // is unknown or has the wrong type; nothing is changed then.
  bool Apply(const nlohmann::json& object);
};

}  // namespace papayakeel

#endif  // MISC_STAND_INS_SERVER_FAULT_SWITCHES_H_
