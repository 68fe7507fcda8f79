// Formatting of tables and flattening of JSON.
#include "main/client/client_output.h"

#include <algorithm>

namespace papayakeel {

namespace {

// Replaces invalid UTF-8, because strings from another process can hold any
// bytes.
std::string Dump(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string EntryName(const nlohmann::json& entry, std::size_t position) {
  if (entry.is_object()) {
    const auto name = entry.find("name");
    if (name != entry.end() && name->is_string())
      return name->get<std::string>();
  }
  return "#" + std::to_string(position + 1);
}

}  // namespace

int client_output::FailUsage(std::string_view message) const {
  error << "papayakeelctl: " << message << "\n";
  return kExitUsage;
}

void client_output::PrintJson(const nlohmann::json& document) const {
  out << Dump(document) << "\n";
}

void client_output::PrintTable(
    const std::vector<std::vector<std::string>>& rows) const {
  std::vector<std::size_t> widths;
  for (const std::vector<std::string>& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column)
      widths[column] = std::max(widths[column], row[column].size());
  }
  for (const std::vector<std::string>& row : rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      out << row[column];
      // The last column is not padded.
      if (column + 1 < row.size())
        out << std::string(widths[column] - row[column].size() + 2, ' ');
    }
    out << "\n";
  }
}

std::string ToCell(const nlohmann::json& value) {
  return value.is_string() ? value.get<std::string>() : Dump(value);
}

void Flatten(const nlohmann::json& value,
             const std::string& path,
             std::vector<std::vector<std::string>>& rows) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (value.is_object() && !value.empty()) {
    for (const auto& [key, inner] : value.items())
      Flatten(inner, prefix + key, rows);
    return;
  }
  const bool has_objects =
      value.is_array() &&
      std::any_of(value.begin(), value.end(),
                  [](const nlohmann::json& each) { return each.is_object(); });
  if (!has_objects) {
    rows.push_back({path, ToCell(value)});
    return;
  }
  for (std::size_t position = 0; position < value.size(); ++position) {
    Flatten(value[position], prefix + EntryName(value[position], position),
            rows);
  }
}

}  // namespace papayakeel
