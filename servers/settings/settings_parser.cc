// Value ranges of process settings and consistency checks between settings.
#include "servers/settings/settings_parser.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <utility>

#include <sodium.h>

#include "servers/settings/toml_reader.h"

namespace papayakeel {

namespace {

constexpr std::int64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();
constexpr int kMaxConnections = 65535;
constexpr int kMaxWaitMs = 3600 * 1000;

// Must hold one request body and one response of the default maximum sizes.
constexpr std::int64_t kMinBufferedBytes = 2 << 20;
constexpr std::int64_t kMaxBufferedBytes = std::int64_t{1} << 36;

// A timeout below the minimum disconnects callers that are far away within a
// region. One above the maximum lets idle senders hold connections.
constexpr int kMinReadTimeoutMs = 100;
constexpr int kMaxReadTimeoutMs = 600 * 1000;

constexpr std::size_t kMinTokenCharacters = 16;
constexpr std::size_t kMaxTokenCharacters = 512;

template <typename Field, typename Value>
void AssignIfPresent(Field& field, const std::optional<Value>& value) {
  if (value)
    field = static_cast<Field>(*value);
}

text_rule LogLevelRule() {
  return {"\"debug\", \"info\", \"warning\" or \"error\"",
          [](std::string_view text) {
            return text == "debug" || text == "info" || text == "warning" ||
                   text == "error";
          }};
}

text_rule OperatorTokenRule() {
  text_rule rule = {
      "16 to 512 visible ASCII characters", [](std::string_view text) {
        return text.size() >= kMinTokenCharacters &&
               text.size() <= kMaxTokenCharacters &&
               std::all_of(text.begin(), text.end(),
                           [](char each) { return each > ' ' && each < 0x7f; });
      }};
  rule.is_secret = true;
  return rule;
}

text_rule FleetKeyRule() {
  text_rule rule = HexRule(64);
  rule.is_secret = true;
  return rule;
}

// An Ed25519 public key must be a valid curve point. This check detects most
// typing errors.
text_rule PublicKeyRule() {
  return {"64 hexadecimal digits of an Ed25519 public key",
          [](std::string_view text) {
            if (!HexRule(64).accepts(text))
              return false;
            std::array<unsigned char, crypto_core_ed25519_BYTES> point{};
            sodium_hex2bin(point.data(), point.size(), text.data(), text.size(),
                           nullptr, nullptr, nullptr);
            return crypto_core_ed25519_is_valid_point(point.data()) == 1;
          }};
}

bool IsUnspecified(const network_address& address) {
  return address.host == "0.0.0.0" || address.host == "::";
}

// Reads the listening address and the address that is advertised to others,
// which defaults to the listening address.
void ReadListener(toml_reader& section,
                  network_address& listen,
                  network_address& advertise) {
  AssignIfPresent(listen, section.ReadAddress("listen", presence::kRequired));
  const std::optional<network_address> given = section.ReadAddress("advertise");
  advertise = given.value_or(listen);
  if (given && IsUnspecified(*given)) {
    section.Report(toml_problem_code::kBadValue, "advertise",
                   "found " + Quote(given->ToString()) +
                       ", allowed: an address that others can connect to");
  }
  if (!section.Has("advertise") && IsUnspecified(listen)) {
    section.Report(toml_problem_code::kContradiction, "listen",
                   "found " + Quote(listen.ToString()) +
                       " without advertise, allowed: an address that others "
                       "can connect to, or advertise with one");
  }
}

void ReadTrustedKeys(toml_reader& section, process_settings& settings) {
  if (!section.Has("trusted_keys")) {
    section.Report(toml_problem_code::kMissingKey, "trusted_keys",
                   "found nothing, allowed: a table of at least one key id "
                   "with its public key, since no bundle could be accepted");
  }
  bool is_empty = section.Has("trusted_keys");
  std::map<std::string, std::string> ids;  // Ids by lower-case public key.
  section.ReadEntries("trusted_keys", [&](toml_reader& keys,
                                          std::string_view id) {
    is_empty = false;
    const std::optional<std::string> key =
        keys.ReadString(id, PublicKeyRule(), presence::kRequired);
    if (!NameRule().accepts(id)) {
      keys.Report(
          toml_problem_code::kBadValue, id,
          "found key id " + Quote(id) + ", allowed: " + NameRule().allowed);
    }
    if (!key)
      return;
    std::string lower = *key;
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char each) {
      return each >= 'A' && each <= 'F' ? static_cast<char>(each - 'A' + 'a')
                                        : each;
    });
    const auto [found, is_new] = ids.emplace(lower, id);
    if (!is_new) {
      keys.Report(toml_problem_code::kDuplicate, id,
                  "found the key of " + Quote(found->second) +
                      ", allowed: each key under one id, since removing the "
                      "id revokes the key");
    }
    settings.trusted_keys[std::string(id)] = lower;
  });
  if (is_empty) {
    section.Report(toml_problem_code::kBadValue, "trusted_keys",
                   "found no key, allowed: at least one");
  }
}

// Reports a conflict when `listen` and `other` cannot both be bound. Port 0
// never conflicts.
void CheckListenerConflict(toml_reader& section,
                           const network_address& listen,
                           const char* other_name,
                           const network_address& other) {
  const bool shares_host = listen.host == other.host || IsUnspecified(listen) ||
                           IsUnspecified(other);
  if (listen.port == 0 || listen.port != other.port || !shares_host)
    return;
  section.Report(toml_problem_code::kContradiction, "listen",
                 "found " + Quote(listen.ToString()) +
                     ", allowed: another address than " + other_name + ", " +
                     Quote(other.ToString()));
}

void ReadSections(toml_reader& root, process_settings& settings) {
  root.ReadSection("process", [&](toml_reader& section) {
    AssignIfPresent(
        settings.deployment,
        section.ReadString("deployment", NameRule(), presence::kRequired));
    AssignIfPresent(settings.availability_zone,
                    section.ReadString("availability_zone", NameRule(),
                                       presence::kRequired));
  });
  root.ReadSection("log", [&](toml_reader& section) {
    AssignIfPresent(settings.log_level,
                    section.ReadString("level", LogLevelRule()));
  });
  root.ReadSection("callers", [&](toml_reader& section) {
    ReadListener(section, settings.caller_listen, settings.caller_advertise);
    AssignIfPresent(
        settings.caller_connection_limit,
        section.ReadInteger("connection_limit", 1, kMaxConnections));
    AssignIfPresent(settings.buffered_bytes_limit,
                    section.ReadInteger("buffered_bytes_limit",
                                        kMinBufferedBytes, kMaxBufferedBytes));
    AssignIfPresent(settings.read_timeout,
                    section.ReadInteger("read_timeout_ms", kMinReadTimeoutMs,
                                        kMaxReadTimeoutMs));
  });
  root.ReadSection("operators", [&](toml_reader& section) {
    AssignIfPresent(settings.operator_listen,
                    section.ReadAddress("listen", presence::kRequired));
    AssignIfPresent(
        settings.operator_token,
        section.ReadString("token", OperatorTokenRule(), presence::kRequired));
    CheckListenerConflict(section, settings.operator_listen, "callers.listen",
                          settings.caller_listen);
  });
  root.ReadSection("peers", [&](toml_reader& section) {
    ReadListener(section, settings.peer_listen, settings.peer_advertise);
    AssignIfPresent(settings.peer_seeds, section.ReadAddresses("seeds"));
    AssignIfPresent(
        settings.fleet_key,
        section.ReadString("fleet_key", FleetKeyRule(), presence::kRequired));
    CheckListenerConflict(section, settings.peer_listen, "callers.listen",
                          settings.caller_listen);
    CheckListenerConflict(section, settings.peer_listen, "operators.listen",
                          settings.operator_listen);
  });
  root.ReadSection("platform", [&](toml_reader& section) {
    AssignIfPresent(
        settings.configuration_service,
        section.ReadAddress("configuration_service", presence::kRequired));
    AssignIfPresent(settings.bundle_key,
                    section.ReadString("bundle_key", NameRule()));
    AssignIfPresent(settings.vm_list,
                    section.ReadAddress("vm_list", presence::kRequired));
  });
  root.ReadSection("bundle", [&](toml_reader& section) {
    ReadTrustedKeys(section, settings);
    AssignIfPresent(settings.minimum_bundle_version,
                    section.ReadInteger("minimum_version", 0, kMaxVersion));
    AssignIfPresent(settings.serve_alone, section.ReadBoolean("serve_alone"));
    AssignIfPresent(settings.peer_wait,
                    section.ReadInteger("peer_wait_ms", 0, kMaxWaitMs));
  });
  root.ReadSection("shutdown", [&](toml_reader& section) {
    AssignIfPresent(settings.shutdown_grace,
                    section.ReadInteger("grace_ms", 0, kMaxWaitMs));
  });
}

settings_error_code ToCode(toml_problem_code code) {
  switch (code) {
    case toml_problem_code::kSyntax:
      return settings_error_code::kSyntax;
    case toml_problem_code::kUnknownKey:
      return settings_error_code::kUnknownKey;
    case toml_problem_code::kMissingKey:
      return settings_error_code::kMissingKey;
    case toml_problem_code::kBadType:
      return settings_error_code::kBadType;
    case toml_problem_code::kBadValue:
      return settings_error_code::kBadValue;
    case toml_problem_code::kDuplicate:
      return settings_error_code::kDuplicate;
    case toml_problem_code::kContradiction:
      return settings_error_code::kContradiction;
  }
  return settings_error_code::kSyntax;
}

std::vector<settings_error> ToErrors(const std::vector<toml_problem>& problems,
                                     std::string_view file) {
  std::vector<settings_error> errors;
  errors.reserve(problems.size());
  for (const toml_problem& each : problems) {
    errors.push_back({ToCode(each.code), std::string(file), each.line, each.key,
                      each.detail});
  }
  return errors;
}

}  // namespace

tl::expected<process_settings, std::vector<settings_error>> ParseSettings(
    std::string_view text,
    std::string_view file) {
  const tl::expected<toml::table, toml_problem> table = ParseToml(text);
  if (!table)
    return tl::unexpected(ToErrors({table.error()}, file));
  std::vector<toml_problem> problems;
  toml_reader root(*table, "", 1, problems);
  process_settings settings;
  ReadSections(root, settings);
  root.Finish();
  if (problems.empty())
    return settings;
  SortByLine(problems);
  return tl::unexpected(ToErrors(problems, file));
}

}  // namespace papayakeel
