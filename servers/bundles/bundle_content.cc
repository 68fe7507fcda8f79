// Canonical JSON of bundles, and hashes of that JSON.
#include "servers/bundles/bundle_content.h"

#include <optional>
#include <utility>

#include <sodium.h>
#include <nlohmann/json.hpp>

#include "servers/bundles/bundle_table_reader.h"

namespace papayakeel {

namespace {

// A valid bundle nests six levels deep: root, services, service, classes,
// class, status list.
constexpr int kMaxNestingDepth = 8;

nlohmann::json MakeClass(const work_class& from) {
  nlohmann::json result = {{"name", from.name},
                           {"methods", from.methods},
                           {"path_prefix", from.path_prefix},
                           {"once_only", from.once_only},
                           {"patience_ms", from.patience.count()},
                           {"importance", from.importance},
                           {"max_body_bytes", from.max_body_bytes},
                           {"max_answer_bytes", from.max_answer_bytes},
                           {"not_run_statuses", from.not_run_statuses}};
  // The parser rejects "key" in classes that are not once-only.
  if (from.once_only) {
    result["key"] =
        from.key == key_requirement::kRequired ? "required" : "optional";
  }
  return result;
}

nlohmann::json MakeService(const service_definition& from) {
  nlohmann::json result = {
      {"name", from.name},
      {"homes", from.homes},
      {"slots_per_endpoint", from.slots_per_endpoint},
      {"connection_limit", from.connection_limit},
      {"zone_weights", nlohmann::json(from.zone_weights)},
      {"expected_service_time_ms", from.expected_service_time.count()},
      {"probe_budget_ms_per_second", from.probe_budget_per_second.count()},
      {"probe_cost_ms", from.probe_cost.count()},
      {"retry_share", from.retry_share},
      {"hedge_share", from.hedge_share},
      {"queue_limit", from.queue_limit}};
  if (!from.answer_id_header.empty())
    result["answer_id_header"] = from.answer_id_header;
  const bool is_static = from.source == endpoint_source::kStatic;
  result["endpoint_source"] = is_static ? "static" : "vm_list";
  if (is_static) {
    result["endpoints"] = nlohmann::json::array();
    for (const network_address& each : from.static_endpoints)
      result["endpoints"].push_back(each.ToString());
  }
  result["class"] = nlohmann::json::array();
  for (const work_class& each : from.classes)
    result["class"].push_back(MakeClass(each));
  return result;
}

bool AppendTo(toml::array& array, const nlohmann::json& value, int depth);

bool InsertInto(toml::table& table,
                const std::string& key,
                const nlohmann::json& value,
                int depth);

// Converts `object` into `table`. Returns false when a value is null, does not
// fit into a signed 64-bit integer, or is nested deeper than kMaxNestingDepth.
bool Convert(toml::table& table, const nlohmann::json& object, int depth) {
  for (const auto& [key, value] : object.items()) {
    if (!InsertInto(table, key, value, depth))
      return false;
  }
  return true;
}

// Converts `value` to TOML and passes the result to `add`. Returns false when
// the conversion fails.
template <typename Add>
bool ConvertValue(const nlohmann::json& value, int depth, Add add) {
  if (depth > kMaxNestingDepth)
    return false;
  switch (value.type()) {
    case nlohmann::json::value_t::object: {
      toml::table inner;
      if (!Convert(inner, value, depth + 1))
        return false;
      add(std::move(inner));
      return true;
    }
    case nlohmann::json::value_t::array: {
      toml::array inner;
      for (const nlohmann::json& each : value) {
        if (!AppendTo(inner, each, depth + 1))
          return false;
      }
      add(std::move(inner));
      return true;
    }
    case nlohmann::json::value_t::string:
      add(value.get<std::string>());
      return true;
    case nlohmann::json::value_t::boolean:
      add(value.get<bool>());
      return true;
    case nlohmann::json::value_t::number_unsigned:
      if (value.get<std::uint64_t>() > INT64_MAX)
        return false;
      add(value.get<std::int64_t>());
      return true;
    case nlohmann::json::value_t::number_integer:
      add(value.get<std::int64_t>());
      return true;
    case nlohmann::json::value_t::number_float:
      add(value.get<double>());
      return true;
    default:
      return false;
  }
}

bool AppendTo(toml::array& array, const nlohmann::json& value, int depth) {
  return ConvertValue(value, depth, [&array](auto&& converted) {
    array.push_back(std::forward<decltype(converted)>(converted));
  });
}

bool InsertInto(toml::table& table,
                const std::string& key,
                const nlohmann::json& value,
                int depth) {
  return ConvertValue(value, depth, [&table, &key](auto&& converted) {
    table.insert_or_assign(key, std::forward<decltype(converted)>(converted));
  });
}

}  // namespace

std::string MakeBundleContent(const bundle& checked) {
  nlohmann::json services = nlohmann::json::array();
  for (const service_definition& each : checked.services)
    services.push_back(MakeService(each));
  const nlohmann::json content = {{"deployment", checked.deployment},
                                  {"version", checked.version},
                                  {"entry_vm_limit", checked.entry_vm_limit},
                                  {"service", std::move(services)}};
  return content.dump();
}

tl::expected<bundle, std::vector<bundle_error>> ParseBundleContent(
    std::string_view content) {
  const nlohmann::json parsed =
      nlohmann::json::parse(content, nullptr, /*allow_exceptions=*/false);
  toml::table table;
  if (!parsed.is_object() || !Convert(table, parsed, 0)) {
    return tl::unexpected(
        std::vector<bundle_error>{{bundle_error_code::kSyntax, 0, "",
                                   "the content is not the JSON of a bundle"}});
  }
  return ReadBundleTable(table);
}

bundle_hash HashBundleContent(std::string_view content) {
  bundle_hash hash{};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const unsigned char*>(content.data()),
                     content.size(), nullptr, 0);
  return hash;
}

std::uint64_t HashPrefix(const bundle_hash& hash) {
  std::uint64_t prefix = 0;
  for (std::size_t i = 0; i < sizeof(prefix); ++i)
    prefix = prefix << 8 | hash[i];
  return prefix;
}

std::string ToHex(const bundle_hash& hash) {
  std::string hex(hash.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
  hex.pop_back();
  return hex;
}

}  // namespace papayakeel
