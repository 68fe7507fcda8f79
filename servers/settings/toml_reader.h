// Reads a TOML table key by key and collects all problems: wrong types, values
// out of range, missing keys and unknown keys.
//
// Every known key must be read exactly once, whether or not it is present.
// `Finish` reports the keys that were not read as unknown.
#ifndef SERVERS_SETTINGS_TOML_READER_H_
#define SERVERS_SETTINGS_TOML_READER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>
#include <tl/expected.hpp>

#include "core/network_address.h"
#include "servers/settings/text_rule.h"
#include "servers/settings/toml_problem.h"

namespace papayakeel {

enum class presence {
  kOptional,
  kRequired,
};

class toml_reader {
 public:
  // `table` and `problems` must outlive the reader. `path` is the dotted path
  // of the table, empty for the root. `line` is used in reports when the table
  // has no line information.
  toml_reader(const toml::table& table,
              std::string path,
              int line,
              std::vector<toml_problem>& problems);

  // The following functions return no value when the key is absent or its value
  // is invalid. An invalid value or an absent required key is reported as a
  // problem.
  std::optional<std::int64_t> ReadInteger(std::string_view key,
                                          std::int64_t lowest,
                                          std::int64_t highest,
                                          presence need = presence::kOptional);
  std::optional<double> ReadNumber(std::string_view key,
                                   double lowest,
                                   double highest);
  std::optional<bool> ReadBoolean(std::string_view key);
  std::optional<std::string> ReadString(std::string_view key,
                                        const text_rule& rule,
                                        presence need = presence::kOptional);
  std::optional<network_address> ReadAddress(
      std::string_view key,
      presence need = presence::kOptional);

  // The following functions read arrays. An invalid or repeated entry is
  // reported as a problem.
  std::optional<std::vector<std::string>> ReadStrings(std::string_view key,
                                                      const text_rule& rule);
  std::optional<std::vector<network_address>> ReadAddresses(
      std::string_view key);
  std::optional<std::vector<int>> ReadIntegers(std::string_view key,
                                               int lowest,
                                               int highest);

  // Reads a table with arbitrary keys. Calls `read_entry` for each key.
  void ReadEntries(
      std::string_view key,
      const std::function<void(toml_reader& entries, std::string_view name)>&
          read_entry);

  // Reads a section. An absent section is read as an empty table, which reports
  // its missing required keys.
  void ReadSection(std::string_view key,
                   const std::function<void(toml_reader& section)>& read);

  // Reads an array of at least one table. The tables must have unique names,
  // which become part of the dotted paths.
  void ReadNamedTables(std::string_view key,
                       const std::function<void(toml_reader& table)>& read);

  // Reports a problem with `key`; the key need not be present in the table.
  void Report(toml_problem_code code, std::string_view key, std::string detail);

  // Reports all keys that were not read as unknown keys.
  void Finish();

  bool Has(std::string_view key) const { return table_.contains(key); }

 private:
  const toml::node* Find(std::string_view key,
                         presence need,
                         const std::string& allowed);
  const toml::array* FindArray(std::string_view key,
                               const std::string& allowed);
  std::string PathOf(std::string_view key) const;
  int LineOf(std::string_view key) const;
  void ReportAt(toml_problem_code code,
                int line,
                std::string key,
                const std::string& found,
                const std::string& allowed);
  std::optional<std::string> CheckString(const toml::node& node,
                                         int line,
                                         const std::string& path,
                                         const text_rule& rule);
  std::optional<network_address> CheckAddress(const toml::node& node,
                                              int line,
                                              const std::string& path);

  const toml::table& table_;
  const std::string path_;
  const int line_;
  std::vector<toml_problem>& problems_;
  std::vector<std::string> known_keys_;
};

// Parses TOML text. Returns a kSyntax problem with its line when the text is
// not valid TOML. Non-ASCII characters are replaced by U+FFFD.
tl::expected<toml::table, toml_problem> ParseToml(std::string_view text);

// Sorts problems by line and keeps the order of problems on the same line.
void SortByLine(std::vector<toml_problem>& problems);

}  // namespace papayakeel

#endif  // SERVERS_SETTINGS_TOML_READER_H_
