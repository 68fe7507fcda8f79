// Parses VM records from JSON.
#include "modules/platform_client/vm_list_parser.h"

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace papayakeel {

namespace {

std::optional<std::string> ReadString(const nlohmann::json& record,
                                      const char* key) {
  const auto found = record.find(key);
  if (found == record.end() || !found->is_string())
    return std::nullopt;
  return found->get<std::string>();
}

std::optional<vm_record> ReadRecord(const nlohmann::json& record) {
  if (!record.is_object())
    return std::nullopt;
  const std::optional<std::string> role = ReadString(record, "role");
  const std::optional<std::string> state = ReadString(record, "state");
  const tl::expected<network_address, address_error_code> address =
      network_address::Parse(ReadString(record, "address").value_or(""));
  const bool has_known_role = role == "server" || role == "entry";
  const bool has_known_state = state == "live" || state == "leaving";
  if (!has_known_role || !has_known_state || !address)
    return std::nullopt;
  vm_record parsed_record;
  parsed_record.role = role == "server" ? vm_role::kServer : vm_role::kEntry;
  parsed_record.address = *address;
  parsed_record.is_leaving = state == "leaving";
  parsed_record.service = ReadString(record, "service").value_or("");
  parsed_record.availability_zone =
      ReadString(record, "availability_zone").value_or("");
  parsed_record.peer_address =
      network_address::Parse(ReadString(record, "peer_address").value_or(""))
          .value_or(network_address{});
  return parsed_record;
}

}  // namespace

tl::expected<std::vector<vm_record>, vm_list_error_code> ParseVmList(
    std::string_view json_text) {
  const nlohmann::json parsed =
      nlohmann::json::parse(json_text, nullptr, false);
  const bool has_list =
      parsed.is_object() && parsed.contains("vms") && parsed["vms"].is_array();
  if (!has_list)
    return tl::unexpected(vm_list_error_code::kSyntax);
  std::vector<vm_record> records;
  for (const nlohmann::json& each : parsed["vms"]) {
    std::optional<vm_record> record = ReadRecord(each);
    if (!record)
      return tl::unexpected(vm_list_error_code::kBadRecord);
    records.push_back(std::move(*record));
  }
  return records;
}

}  // namespace papayakeel
