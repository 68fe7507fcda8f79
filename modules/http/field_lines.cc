// The grammar of RFC 9110, section 5, and RFC 9112, section 5, without line
// folding.
#include "modules/http/field_lines.h"

#include <algorithm>

namespace papayakeel {

namespace {

constexpr std::string_view kStatusLineStart = "HTTP/1.";
constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
constexpr std::string_view kFolding = " \t";

bool IsTokenByte(char byte) {
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
         (byte >= '0' && byte <= '9') ||
         kTokenSymbols.find(byte) != std::string_view::npos;
}

// A tab is allowed in values.
bool IsForbiddenInValue(char byte) {
  const unsigned char value = static_cast<unsigned char>(byte);
  return (value < 0x20 && byte != '\t') || value == 0x7f;
}

// Returns the cause for which a line without its CRLF is malformed, or null.
const char* FindFault(std::string_view line) {
  if (kFolding.find(line.front()) != std::string_view::npos)
    return "folded header line";
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos)
    return "header line without a colon";
  const std::string_view name = line.substr(0, colon);
  if (name.empty() || !std::all_of(name.begin(), name.end(), IsTokenByte))
    return "malformed field name";
  const std::string_view value = line.substr(colon + 1);
  if (std::any_of(value.begin(), value.end(), IsForbiddenInValue))
    return "control byte in a field value";
  return nullptr;
}

}  // namespace

field_lines::field_lines(bool has_start_line)
    : is_start_line_(has_start_line) {}

field_lines::state field_lines::Check(std::string_view section) {
  if (is_start_line_) {
    const std::string_view start = section.substr(0, kStatusLineStart.size());
    if (start != kStatusLineStart.substr(0, start.size())) {
      error_ = "malformed status line";
      state_ = state::kMalformed;
    }
  }
  while (state_ == state::kIncomplete) {
    const std::size_t end = section.find('\n', searched_);
    if (end == std::string_view::npos) {
      searched_ = section.size();
      return state_;
    }
    std::string_view line = section.substr(line_start_, end - line_start_);
    line_start_ = end + 1;
    searched_ = line_start_;
    if (line.empty() || line.back() != '\r') {
      error_ = "line without CR";
      state_ = state::kMalformed;
      return state_;
    }
    line.remove_suffix(1);
    if (line.empty()) {
      state_ = state::kComplete;
      return state_;
    }
    const char* const fault = is_start_line_ ? nullptr : FindFault(line);
    is_start_line_ = false;
    if (fault != nullptr) {
      error_ = fault;
      state_ = state::kMalformed;
    }
  }
  return state_;
}

}  // namespace papayakeel
