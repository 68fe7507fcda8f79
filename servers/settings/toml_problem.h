// A problem found by `toml_reader`. The settings and bundle parsers convert it
// to their own error types.
#ifndef SERVERS_SETTINGS_TOML_PROBLEM_H_
#define SERVERS_SETTINGS_TOML_PROBLEM_H_

#include <string>

namespace papayakeel {

enum class toml_problem_code {
  kSyntax,         // The text is not valid TOML.
  kUnknownKey,     // A setting that does not exist.
  kMissingKey,     // A required setting is absent.
  kBadType,        // A setting has the wrong type.
  kBadValue,       // A setting is out of its range.
  kDuplicate,      // Two entries have the same name or value.
  kContradiction,  // Two settings contradict each other.
};

struct toml_problem {
  toml_problem_code code = toml_problem_code::kSyntax;
  int line = 0;        // 1-based line number; 0 when unknown.
  std::string key;     // Dotted path of the affected setting.
  std::string detail;  // What was found and what is allowed.
};

}  // namespace papayakeel

#endif  // SERVERS_SETTINGS_TOML_PROBLEM_H_
