// Output streams, exit statuses and output formats of papayakeelctl.
#ifndef MAIN_CLIENT_CLIENT_OUTPUT_H_
#define MAIN_CLIENT_CLIENT_OUTPUT_H_

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace papayakeel {

// Exit statuses of papayakeelctl.
inline constexpr int kExitOk = 0;
// Negative result, or a process failed to reply.
inline constexpr int kExitNegative = 1;
// Invalid usage or input.
inline constexpr int kExitUsage = 2;

struct client_output {
  std::ostream& out;
  std::ostream& error;

  // Prints an error message and returns kExitUsage.
  int FailUsage(std::string_view message) const;

  // Prints a JSON document on one line.
  void PrintJson(const nlohmann::json& document) const;

  // Prints rows in aligned columns. Headings, if any, are the first row.
  void PrintTable(const std::vector<std::vector<std::string>>& rows) const;
};

// Formats `value` for a table cell: strings without quotes, other values as
// JSON.
std::string ToCell(const nlohmann::json& value);

// Appends one {dotted key, value} row for each leaf of `value`. In an array
// that contains objects, the key of an entry is its "name" member, or else its
// position in the form "#1".
void Flatten(const nlohmann::json& value,
             const std::string& path,
             std::vector<std::vector<std::string>>& rows);

}  // namespace papayakeel

#endif  // MAIN_CLIENT_CLIENT_OUTPUT_H_
