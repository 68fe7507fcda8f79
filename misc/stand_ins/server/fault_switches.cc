// Fault switches from JSON.
#include "misc/stand_ins/server/fault_switches.h"

#include <optional>
#include <string>

namespace papayakeel {

namespace {

std::optional<answer_fault> ParseAnswerFault(const std::string& text) {
  if (text == "none")
    return answer_fault::kNone;
  if (text == "close_early")
    return answer_fault::kCloseEarly;
  if (text == "wrong_length")
    return answer_fault::kWrongLength;
  if (text == "twice")
    return answer_fault::kTwice;
  if (text == "crossed")
    return answer_fault::kCrossed;
  if (text == "no_framing")
    return answer_fault::kNoFraming;
  return std::nullopt;
}

}  // namespace

bool fault_switches::Apply(const nlohmann::json& object) {
  if (!object.is_object())
    return false;
  fault_switches changed = *this;
  for (const auto& [key, value] : object.items()) {
    if (key == "slowdown" && value.is_number()) {
      changed.slowdown = value.get<double>();
    } else if (key == "fails_fast" && value.is_boolean()) {
      changed.fails_fast = value.get<bool>();
    } else if (key == "sheds" && value.is_boolean()) {
      changed.sheds = value.get<bool>();
    } else if (key == "is_draining" && value.is_boolean()) {
      changed.is_draining = value.get<bool>();
    } else if (key == "reports_idle" && value.is_boolean()) {
      changed.reports_idle = value.get<bool>();
    } else if (key == "late_ms" && value.is_number_integer()) {
      changed.late = std::chrono::milliseconds(value.get<int>());
    } else if (key == "answer" && value.is_string()) {
      const std::optional<answer_fault> fault =
          ParseAnswerFault(value.get<std::string>());
      if (!fault)
        return false;
      changed.answer = *fault;
    } else {
      return false;
    }
  }
  *this = changed;
  return true;
}

}  // namespace papayakeel
