// A problem in a settings file.
#ifndef SERVERS_SETTINGS_SETTINGS_ERROR_H_
#define SERVERS_SETTINGS_SETTINGS_ERROR_H_

#include <string>

namespace papayakeel {

enum class settings_error_code {
  kUnreadable,  // The file cannot be read.
  kSyntax,
  kUnknownKey,
  kMissingKey,
  kBadType,
  kBadValue,
  kDuplicate,      // Two entries are equal.
  kContradiction,  // Two settings contradict each other.
};

struct settings_error {
  settings_error_code code = settings_error_code::kSyntax;
  std::string file;
  int line = 0;  // 1-based line number; 0 when the problem has no line.
  std::string key;
  std::string detail;  // Readable text: what was found and what is allowed.
};

// Returns the name of `code` for messages and JSON.
const char* ToString(settings_error_code code);

}  // namespace papayakeel

#endif  // SERVERS_SETTINGS_SETTINGS_ERROR_H_
