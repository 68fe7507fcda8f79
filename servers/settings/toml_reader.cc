// Typed access to TOML tables.
#include "servers/settings/toml_reader.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>
#include <utility>

namespace papayakeel {

namespace {

const char* TypeName(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::string:
      return "a string";
    case toml::node_type::integer:
      return "an integer";
    case toml::node_type::floating_point:
      return "a number with a fraction";
    case toml::node_type::boolean:
      return "a boolean";
    default:
      return "a date or time";
  }
}

std::string ToText(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

std::string IntegerRange(std::int64_t lowest, std::int64_t highest) {
  return "an integer from " + std::to_string(lowest) + " to " +
         std::to_string(highest);
}

int LineOfNode(const toml::node& node, int fallback_line) {
  const int line = static_cast<int>(node.source().begin.line);
  return line > 0 ? line : fallback_line;
}

// Returns the size in bytes of the UTF-8 character at the start of `text`, or 1
// when the first bytes are not a UTF-8 character.
std::size_t CharacterSize(std::string_view text) {
  const auto lead = static_cast<unsigned char>(text.front());
  std::size_t size = 1;
  if (lead >= 0xc2 && lead <= 0xdf)
    size = 2;
  else if (lead >= 0xe0 && lead <= 0xef)
    size = 3;
  else if (lead >= 0xf0 && lead <= 0xf4)
    size = 4;
  if (size > text.size())
    return 1;
  const bool is_whole = std::all_of(
      text.begin() + 1, text.begin() + static_cast<std::ptrdiff_t>(size),
      [](char each) {
        return (static_cast<unsigned char>(each) & 0xc0) == 0x80;
      });
  return is_whole ? size : 1;
}

// Replaces each non-ASCII character by U+FFFD. When toml++ 3.3.0 checks for
// white space, some characters, including U+00A1 to U+0499, make it execute
// code that it marks as unreachable, which is undefined behaviour. U+FFFD does
// not trigger this fault. No setting allows non-ASCII characters, and comments
// are ignored. A byte order mark at the start is kept. Invalid UTF-8 is also
// kept, and toml++ reports it as an error.
std::string ReplaceNonAscii(std::string_view text) {
  constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";
  constexpr std::string_view replacement = "\xef\xbf\xbd";
  std::string replaced;
  replaced.reserve(text.size());
  if (text.substr(0, byte_order_mark.size()) == byte_order_mark) {
    replaced = byte_order_mark;
    text.remove_prefix(byte_order_mark.size());
  }
  while (!text.empty()) {
    const std::size_t size = CharacterSize(text);
    replaced += size == 1 ? text.substr(0, 1) : replacement;
    text.remove_prefix(size);
  }
  return replaced;
}

constexpr char kAddressAllowed[] =
    "IP:PORT with a port from 1 to 65535, such as \"10.0.0.1:8080\" or "
    "\"[fd00::1]:8080\"";

}  // namespace

tl::expected<toml::table, toml_problem> ParseToml(std::string_view text) {
  try {
    return toml::parse(ReplaceNonAscii(text));
  } catch (const toml::parse_error& error) {
    return tl::unexpected(toml_problem{
        toml_problem_code::kSyntax, static_cast<int>(error.source().begin.line),
        "", std::string(error.description())});
  }
}

void SortByLine(std::vector<toml_problem>& problems) {
  std::stable_sort(problems.begin(), problems.end(),
                   [](const toml_problem& left, const toml_problem& right) {
                     return left.line < right.line;
                   });
}

toml_reader::toml_reader(const toml::table& table,
                         std::string path,
                         int line,
                         std::vector<toml_problem>& problems)
    : table_(table),
      path_(std::move(path)),
      line_(LineOfNode(table, line)),
      problems_(problems) {}

std::optional<std::int64_t> toml_reader::ReadInteger(std::string_view key,
                                                     std::int64_t lowest,
                                                     std::int64_t highest,
                                                     presence need) {
  const std::string allowed = IntegerRange(lowest, highest);
  const toml::node* node = Find(key, need, allowed);
  if (node == nullptr)
    return std::nullopt;
  if (!node->is_integer()) {
    ReportAt(toml_problem_code::kBadType, LineOf(key), PathOf(key),
             TypeName(*node), allowed);
    return std::nullopt;
  }
  const std::int64_t value = node->as_integer()->get();
  if (value < lowest || value > highest) {
    ReportAt(toml_problem_code::kBadValue, LineOf(key), PathOf(key),
             std::to_string(value), allowed);
    return std::nullopt;
  }
  return value;
}

std::optional<double> toml_reader::ReadNumber(std::string_view key,
                                              double lowest,
                                              double highest) {
  const std::string allowed =
      "a number from " + ToText(lowest) + " to " + ToText(highest);
  const toml::node* node = Find(key, presence::kOptional, allowed);
  if (node == nullptr)
    return std::nullopt;
  if (!node->is_number()) {
    ReportAt(toml_problem_code::kBadType, LineOf(key), PathOf(key),
             TypeName(*node), allowed);
    return std::nullopt;
  }
  // Adding 0.0 converts negative zero to zero.
  const double value = node->value_or(0.0) + 0.0;
  // The negated condition also rejects NaN.
  if (!(value >= lowest && value <= highest)) {
    ReportAt(toml_problem_code::kBadValue, LineOf(key), PathOf(key),
             ToText(value), allowed);
    return std::nullopt;
  }
  return value;
}

std::optional<bool> toml_reader::ReadBoolean(std::string_view key) {
  const std::string allowed = "true or false";
  const toml::node* node = Find(key, presence::kOptional, allowed);
  if (node == nullptr)
    return std::nullopt;
  if (!node->is_boolean()) {
    ReportAt(toml_problem_code::kBadType, LineOf(key), PathOf(key),
             TypeName(*node), allowed);
    return std::nullopt;
  }
  return node->as_boolean()->get();
}

std::optional<std::string> toml_reader::ReadString(std::string_view key,
                                                   const text_rule& rule,
                                                   presence need) {
  const toml::node* node = Find(key, need, rule.allowed);
  if (node == nullptr)
    return std::nullopt;
  return CheckString(*node, LineOf(key), PathOf(key), rule);
}

std::optional<network_address> toml_reader::ReadAddress(std::string_view key,
                                                        presence need) {
  const toml::node* node = Find(key, need, kAddressAllowed);
  if (node == nullptr)
    return std::nullopt;
  return CheckAddress(*node, LineOf(key), PathOf(key));
}

std::optional<std::vector<std::string>> toml_reader::ReadStrings(
    std::string_view key,
    const text_rule& rule) {
  const toml::array* array =
      FindArray(key, "an array, each entry " + rule.allowed);
  if (array == nullptr)
    return std::nullopt;
  const std::size_t problems_before = problems_.size();
  std::vector<std::string> values;
  for (const toml::node& each : *array) {
    const int line = LineOfNode(each, LineOf(key));
    const std::optional<std::string> value =
        CheckString(each, line, PathOf(key), rule);
    if (!value)
      continue;
    if (std::find(values.begin(), values.end(), *value) != values.end()) {
      ReportAt(toml_problem_code::kDuplicate, line, PathOf(key),
               Quote(*value) + " twice", "each entry once");
      continue;
    }
    values.push_back(*value);
  }
  if (problems_.size() > problems_before)
    return std::nullopt;
  return values;
}

std::optional<std::vector<network_address>> toml_reader::ReadAddresses(
    std::string_view key) {
  const toml::array* array =
      FindArray(key, std::string("an array of ") + kAddressAllowed);
  if (array == nullptr)
    return std::nullopt;
  const std::size_t problems_before = problems_.size();
  std::vector<network_address> values;
  for (const toml::node& each : *array) {
    const int line = LineOfNode(each, LineOf(key));
    const std::optional<network_address> value =
        CheckAddress(each, line, PathOf(key));
    if (!value)
      continue;
    if (std::find(values.begin(), values.end(), *value) != values.end()) {
      ReportAt(toml_problem_code::kDuplicate, line, PathOf(key),
               Quote(value->ToString()) + " twice", "each address once");
      continue;
    }
    values.push_back(*value);
  }
  if (problems_.size() > problems_before)
    return std::nullopt;
  return values;
}

std::optional<std::vector<int>> toml_reader::ReadIntegers(std::string_view key,
                                                          int lowest,
                                                          int highest) {
  const std::string allowed = IntegerRange(lowest, highest);
  const toml::array* array = FindArray(key, "an array, each entry " + allowed);
  if (array == nullptr)
    return std::nullopt;
  const std::size_t problems_before = problems_.size();
  std::vector<int> values;
  for (const toml::node& each : *array) {
    const int line = LineOfNode(each, LineOf(key));
    if (!each.is_integer()) {
      ReportAt(toml_problem_code::kBadType, line, PathOf(key), TypeName(each),
               allowed);
      continue;
    }
    const std::int64_t value = each.as_integer()->get();
    if (value < lowest || value > highest) {
      ReportAt(toml_problem_code::kBadValue, line, PathOf(key),
               std::to_string(value), allowed);
      continue;
    }
    if (std::find(values.begin(), values.end(), value) != values.end()) {
      ReportAt(toml_problem_code::kDuplicate, line, PathOf(key),
               std::to_string(value) + " twice", "each entry once");
      continue;
    }
    values.push_back(static_cast<int>(value));
  }
  if (problems_.size() > problems_before)
    return std::nullopt;
  return values;
}

void toml_reader::ReadEntries(
    std::string_view key,
    const std::function<void(toml_reader& entries, std::string_view name)>&
        read_entry) {
  ReadSection(key, [&read_entry](toml_reader& entries) {
    for (const auto& [name, node] : entries.table_)
      read_entry(entries, name.str());
  });
}

void toml_reader::ReadSection(
    std::string_view key,
    const std::function<void(toml_reader& section)>& read) {
  const toml::node* node = Find(key, presence::kOptional, "a table");
  if (node != nullptr && !node->is_table()) {
    ReportAt(toml_problem_code::kBadType, LineOf(key), PathOf(key),
             TypeName(*node), "a table");
    return;
  }
  const toml::table empty;
  toml_reader section(node != nullptr ? *node->as_table() : empty, PathOf(key),
                      LineOf(key), problems_);
  read(section);
  section.Finish();
}

void toml_reader::ReadNamedTables(
    std::string_view key,
    const std::function<void(toml_reader& table)>& read) {
  const std::string allowed = "at least one [[" + PathOf(key) + "]] table";
  const toml::node* node = Find(key, presence::kRequired, allowed);
  if (node == nullptr)
    return;
  if (!node->is_array()) {
    ReportAt(toml_problem_code::kBadType, LineOf(key), PathOf(key),
             TypeName(*node), allowed);
    return;
  }
  if (node->as_array()->empty()) {
    ReportAt(toml_problem_code::kMissingKey, LineOf(key), PathOf(key),
             "an empty array", allowed);
    return;
  }
  std::set<std::string> names;
  int number = 0;
  for (const toml::node& each : *node->as_array()) {
    ++number;
    const int line = LineOfNode(each, LineOf(key));
    const toml::table* table = each.as_table();
    if (table == nullptr) {
      ReportAt(toml_problem_code::kBadType, line, PathOf(key), TypeName(each),
               allowed);
      continue;
    }
    const toml::node* name_node = table->get("name");
    const std::string name = name_node != nullptr
                                 ? name_node->value_or(std::string())
                                 : std::string();
    // A table without a valid name is identified by its position.
    const bool has_name = NameRule().accepts(name);
    toml_reader reader(
        *table,
        PathOf(key) + "." + (has_name ? name : "#" + std::to_string(number)),
        line, problems_);
    if (has_name && !names.insert(name).second) {
      reader.Report(toml_problem_code::kDuplicate, "name",
                    "found " + Quote(name) + " twice, allowed: unique names");
    }
    read(reader);
    reader.Finish();
  }
}

void toml_reader::Report(toml_problem_code code,
                         std::string_view key,
                         std::string detail) {
  problems_.push_back({code, LineOf(key), PathOf(key), std::move(detail)});
}

void toml_reader::Finish() {
  std::string allowed;
  for (const std::string& each : known_keys_)
    allowed += (allowed.empty() ? "" : ", ") + each;
  for (const auto& [key, node] : table_) {
    const bool is_known = std::find(known_keys_.begin(), known_keys_.end(),
                                    key.str()) != known_keys_.end();
    if (!is_known) {
      ReportAt(toml_problem_code::kUnknownKey, LineOf(key.str()),
               PathOf(key.str()), "an unknown key", allowed);
    }
  }
}

const toml::node* toml_reader::Find(std::string_view key,
                                    presence need,
                                    const std::string& allowed) {
  known_keys_.emplace_back(key);
  const toml::node* node = table_.get(key);
  if (node == nullptr && need == presence::kRequired) {
    ReportAt(toml_problem_code::kMissingKey, line_, PathOf(key), "nothing",
             allowed);
  }
  return node;
}

const toml::array* toml_reader::FindArray(std::string_view key,
                                          const std::string& allowed) {
  const toml::node* node = Find(key, presence::kOptional, allowed);
  if (node == nullptr)
    return nullptr;
  if (!node->is_array()) {
    ReportAt(toml_problem_code::kBadType, LineOf(key), PathOf(key),
             TypeName(*node), allowed);
  }
  return node->as_array();
}

std::string toml_reader::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

int toml_reader::LineOf(std::string_view key) const {
  const auto found = table_.find(key);
  if (found == table_.end())
    return line_;
  const int line = static_cast<int>(found->first.source().begin.line);
  return line > 0 ? line : LineOfNode(found->second, line_);
}

void toml_reader::ReportAt(toml_problem_code code,
                           int line,
                           std::string key,
                           const std::string& found,
                           const std::string& allowed) {
  problems_.push_back(
      {code, line, std::move(key), "found " + found + ", allowed: " + allowed});
}

std::optional<std::string> toml_reader::CheckString(const toml::node& node,
                                                    int line,
                                                    const std::string& path,
                                                    const text_rule& rule) {
  if (!node.is_string()) {
    ReportAt(toml_problem_code::kBadType, line, path, TypeName(node),
             rule.allowed);
    return std::nullopt;
  }
  const std::string& value = node.as_string()->get();
  if (rule.accepts(value))
    return value;
  ReportAt(toml_problem_code::kBadValue, line, path,
           rule.is_secret
               ? "a string of " + std::to_string(value.size()) + " characters"
               : Quote(value),
           rule.allowed);
  return std::nullopt;
}

std::optional<network_address> toml_reader::CheckAddress(
    const toml::node& node,
    int line,
    const std::string& path) {
  if (!node.is_string()) {
    ReportAt(toml_problem_code::kBadType, line, path, TypeName(node),
             kAddressAllowed);
    return std::nullopt;
  }
  const std::string& text = node.as_string()->get();
  const tl::expected<network_address, address_error_code> address =
      network_address::Parse(text);
  // Comparing with the formatted address rejects alternative spellings such as
  // "[10.0.0.1]:80". Equal addresses therefore have equal texts.
  if (address && IsIpAddress(address->host) && address->ToString() == text)
    return *address;
  ReportAt(toml_problem_code::kBadValue, line, path, Quote(text),
           kAddressAllowed);
  return std::nullopt;
}

}  // namespace papayakeel
