// Value ranges of bundle settings and consistency checks between settings.
#include "servers/bundles/bundle_table_reader.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "servers/settings/toml_reader.h"

namespace papayakeel {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();
constexpr int kMaxEntryVms = 1024;
constexpr int kMaxSlotsPerEndpoint = 1024;
constexpr int kMaxConnections = 65535;
constexpr int kMaxQueuedCalls = 1000000;
constexpr int kMaxProbeCostMs = 1000;
constexpr int kMaxServiceTimeMs = 600 * 1000;
constexpr int kMaxPatienceMs = 24 * 3600 * 1000;
constexpr double kMaxZoneWeight = 1000;

// Request and response bodies are buffered completely in memory.
constexpr std::int64_t kMaxMessageBytes = 256 << 20;

// If an entry VM sends probes less often, it re-admits recovered endpoints too
// late.
constexpr double kMaxProbeIntervalSeconds = 600;

constexpr std::size_t kMaxPathPrefixBytes = 1024;

template <typename Field, typename Value>
void AssignIfPresent(Field& field, const std::optional<Value>& value) {
  if (value)
    field = static_cast<Field>(*value);
}

text_rule PathPrefixRule() {
  return {
      "a path that begins with '/', of visible ASCII characters without "
      "'?' and '#', at most 1024",
      [](std::string_view text) {
        return !text.empty() && text.front() == '/' &&
               text.size() <= kMaxPathPrefixBytes &&
               std::all_of(text.begin(), text.end(), [](char each) {
                 return each > ' ' && each < 0x7f && each != '?' && each != '#';
               });
      }};
}

text_rule MethodRule() {
  return {"a method in capital letters, such as \"GET\"",
          [](std::string_view text) {
            return !text.empty() && text.size() <= 32 &&
                   std::all_of(text.begin(), text.end(), [](char each) {
                     return (each >= 'A' && each <= 'Z') || each == '-';
                   });
          }};
}

text_rule ChoiceRule(std::string first, std::string second) {
  std::string allowed = Quote(first) + " or " + Quote(second);
  return {
      std::move(allowed),
      [first = std::move(first), second = std::move(second)](
          std::string_view text) { return text == first || text == second; }};
}

// Returns whether `earlier` matches all requests that `later` matches.
bool Covers(const work_class& earlier, const work_class& later) {
  const bool has_prefix =
      later.path_prefix.compare(0, earlier.path_prefix.size(),
                                earlier.path_prefix) == 0;
  if (!has_prefix)
    return false;
  if (earlier.methods.empty())
    return true;
  return !later.methods.empty() &&
         std::all_of(later.methods.begin(), later.methods.end(),
                     [&earlier](const std::string& method) {
                       return std::find(earlier.methods.begin(),
                                        earlier.methods.end(),
                                        method) != earlier.methods.end();
                     });
}

work_class ReadClass(toml_reader& reader) {
  work_class read;
  AssignIfPresent(read.name,
                  reader.ReadString("name", NameRule(), presence::kRequired));
  AssignIfPresent(read.methods, reader.ReadStrings("methods", MethodRule()));
  AssignIfPresent(read.path_prefix,
                  reader.ReadString("path_prefix", PathPrefixRule()));
  AssignIfPresent(read.once_only, reader.ReadBoolean("once_only"));
  const std::optional<std::string> key =
      reader.ReadString("key", ChoiceRule("required", "optional"));
  if (key == "optional")
    read.key = key_requirement::kOptional;
  if (key && !read.once_only) {
    reader.Report(toml_problem_code::kContradiction, "key",
                  "found key in a class with once_only = false, allowed: key "
                  "only with once_only = true");
  }
  AssignIfPresent(read.patience,
                  reader.ReadInteger("patience_ms", 1, kMaxPatienceMs));
  AssignIfPresent(read.importance, reader.ReadInteger("importance", 0, 7));
  AssignIfPresent(read.max_body_bytes,
                  reader.ReadInteger("max_body_bytes", 0, kMaxMessageBytes));
  AssignIfPresent(read.max_answer_bytes,
                  reader.ReadInteger("max_answer_bytes", 1, kMaxMessageBytes));
  // Only error statuses are allowed: a success status means that the backend
  // server ran the request.
  AssignIfPresent(read.not_run_statuses,
                  reader.ReadIntegers("not_run_statuses", 400, 599));
  return read;
}

void ReadEndpoints(toml_reader& reader, service_definition& service) {
  const std::optional<std::string> source =
      reader.ReadString("endpoint_source", ChoiceRule("vm_list", "static"));
  const std::optional<std::vector<network_address>> endpoints =
      reader.ReadAddresses("endpoints");
  const bool has_endpoints = reader.Has("endpoints");
  const bool is_static =
      source == "static" || (has_endpoints && !reader.Has("endpoint_source"));
  if (is_static)
    service.source = endpoint_source::kStatic;
  AssignIfPresent(service.static_endpoints, endpoints);
  if (is_static && !has_endpoints) {
    reader.Report(toml_problem_code::kMissingKey, "endpoints",
                  "found nothing, allowed: at least one address, because "
                  "endpoint_source is \"static\"");
  }
  const bool is_empty =
      has_endpoints && endpoints && service.static_endpoints.empty();
  if (is_static && is_empty) {
    reader.Report(toml_problem_code::kBadValue, "endpoints",
                  "found no address, allowed: at least one");
  }
  if (source == "vm_list" && has_endpoints) {
    reader.Report(
        toml_problem_code::kContradiction, "endpoints",
        "found endpoints with endpoint_source = \"vm_list\", allowed: "
        "endpoints only with \"static\"");
  }
}

void ReadZoneWeights(toml_reader& reader, service_definition& service) {
  reader.ReadEntries(
      "zone_weights", [&service](toml_reader& weights, std::string_view zone) {
        const std::optional<double> weight =
            weights.ReadNumber(zone, 0, kMaxZoneWeight);
        if (!NameRule().accepts(zone)) {
          weights.Report(
              toml_problem_code::kBadValue, zone,
              "found " + Quote(zone) + ", allowed: " + NameRule().allowed);
          return;
        }
        if (weight)
          service.zone_weights[std::string(zone)] = *weight;
      });
}

// Checks the connection limit and the probe budget. Both apply per endpoint and
// are divided equally among the entry VMs.
void CheckEntryVmShares(toml_reader& reader,
                        const service_definition& service,
                        int entry_vm_limit) {
  const int connections = service.connection_limit / entry_vm_limit;
  if (connections < service.slots_per_endpoint) {
    reader.Report(toml_problem_code::kContradiction, "connection_limit",
                  "found a share of " + std::to_string(connections) +
                      " connections per entry VM (connection_limit " +
                      std::to_string(service.connection_limit) +
                      " / entry_vm_limit " + std::to_string(entry_vm_limit) +
                      "), allowed: at least slots_per_endpoint, " +
                      std::to_string(service.slots_per_endpoint) +
                      ", since a call in a slot needs a connection");
  }
  const std::int64_t budget = service.probe_budget_per_second.count();
  const std::int64_t cost = service.probe_cost.count();
  if (budget == 0)
    return;
  if (cost > budget) {
    reader.Report(toml_problem_code::kContradiction, "probe_cost_ms",
                  "found " + std::to_string(cost) +
                      ", allowed: at most probe_budget_ms_per_second, " +
                      std::to_string(budget) +
                      ", since one probe would exceed it; a budget of 0 turns "
                      "probes off");
    return;
  }
  const double interval =
      static_cast<double>(cost) * entry_vm_limit / static_cast<double>(budget);
  if (interval > kMaxProbeIntervalSeconds) {
    reader.Report(toml_problem_code::kContradiction,
                  "probe_budget_ms_per_second",
                  "found " + std::to_string(budget) +
                      ", which lets one entry VM send a probe every " +
                      std::to_string(static_cast<std::int64_t>(interval)) +
                      " s (probe_cost_ms * entry_vm_limit / budget), allowed: "
                      "at most 600 s; a budget of 0 turns probes off");
  }
}

void CheckClasses(toml_reader& reader, service_definition& service) {
  const std::vector<work_class>& classes = service.classes;
  for (std::size_t later = 1; later < classes.size(); ++later) {
    for (std::size_t earlier = 0; earlier < later; ++earlier) {
      if (!Covers(classes[earlier], classes[later]))
        continue;
      reader.Report(toml_problem_code::kContradiction, "class",
                    "found class " + Quote(classes[later].name) +
                        " after class " + Quote(classes[earlier].name) +
                        ", which matches all of its requests, allowed: the "
                        "more specific class first");
      break;
    }
  }
  for (const work_class& each : classes) {
    if (each.patience >= service.expected_service_time)
      continue;
    reader.Report(
        toml_problem_code::kContradiction, "expected_service_time_ms",
        "found " + std::to_string(service.expected_service_time.count()) +
            ", allowed: at most the patience_ms of each class; that "
            "of " +
            Quote(each.name) + " is " + std::to_string(each.patience.count()));
  }
  const bool is_once_only =
      !classes.empty() &&
      std::all_of(classes.begin(), classes.end(),
                  [](const work_class& each) { return each.once_only; });
  if (!is_once_only)
    return;
  if (reader.Has("hedge_share") && service.hedge_share > 0) {
    reader.Report(toml_problem_code::kContradiction, "hedge_share",
                  "found hedge_share in a service whose classes are all "
                  "once_only, allowed: 0 or no hedge_share, since once-only "
                  "work is never hedged");
  }
  service.hedge_share = 0;
}

service_definition ReadService(toml_reader& reader, int entry_vm_limit) {
  service_definition read;
  AssignIfPresent(read.name, reader.ReadString("name", LowerCaseNameRule(),
                                               presence::kRequired));
  ReadEndpoints(reader, read);
  AssignIfPresent(read.homes, reader.ReadInteger("homes", 1, kMaxEntryVms));
  if (read.homes > entry_vm_limit) {
    reader.Report(toml_problem_code::kContradiction, "homes",
                  "found " + std::to_string(read.homes) +
                      ", allowed: at most entry_vm_limit, " +
                      std::to_string(entry_vm_limit));
  }
  AssignIfPresent(
      read.slots_per_endpoint,
      reader.ReadInteger("slots_per_endpoint", 1, kMaxSlotsPerEndpoint));
  AssignIfPresent(read.connection_limit,
                  reader.ReadInteger("connection_limit", 1, kMaxConnections));
  ReadZoneWeights(reader, read);
  AssignIfPresent(
      read.expected_service_time,
      reader.ReadInteger("expected_service_time_ms", 1, kMaxServiceTimeMs));
  AssignIfPresent(read.probe_budget_per_second,
                  reader.ReadInteger("probe_budget_ms_per_second", 0, 1000));
  AssignIfPresent(read.probe_cost,
                  reader.ReadInteger("probe_cost_ms", 1, kMaxProbeCostMs));
  AssignIfPresent(read.retry_share, reader.ReadNumber("retry_share", 0, 1));
  AssignIfPresent(read.hedge_share, reader.ReadNumber("hedge_share", 0, 1));
  AssignIfPresent(read.queue_limit,
                  reader.ReadInteger("queue_limit", 1, kMaxQueuedCalls));
  AssignIfPresent(read.answer_id_header,
                  reader.ReadString("answer_id_header", TokenRule()));
  reader.ReadNamedTables("class", [&read](toml_reader& class_reader) {
    read.classes.push_back(ReadClass(class_reader));
  });
  CheckEntryVmShares(reader, read, entry_vm_limit);
  CheckClasses(reader, read);
  return read;
}

bundle_error_code ToCode(toml_problem_code code) {
  switch (code) {
    case toml_problem_code::kSyntax:
      return bundle_error_code::kSyntax;
    case toml_problem_code::kUnknownKey:
      return bundle_error_code::kUnknownKey;
    case toml_problem_code::kMissingKey:
      return bundle_error_code::kMissingKey;
    case toml_problem_code::kBadType:
      return bundle_error_code::kBadType;
    case toml_problem_code::kBadValue:
      return bundle_error_code::kBadValue;
    case toml_problem_code::kDuplicate:
      return bundle_error_code::kDuplicate;
    case toml_problem_code::kContradiction:
      return bundle_error_code::kContradiction;
  }
  return bundle_error_code::kSyntax;
}

}  // namespace

bundle_error ToBundleError(const toml_problem& problem) {
  return {ToCode(problem.code), problem.line, problem.key, problem.detail};
}

tl::expected<bundle, std::vector<bundle_error>> ReadBundleTable(
    const toml::table& table) {
  std::vector<toml_problem> problems;
  toml_reader reader(table, "", 1, problems);
  bundle read;
  AssignIfPresent(read.deployment, reader.ReadString("deployment", NameRule(),
                                                     presence::kRequired));
  AssignIfPresent(read.version, reader.ReadInteger("version", 1, kMaxVersion,
                                                   presence::kRequired));
  AssignIfPresent(read.entry_vm_limit,
                  reader.ReadInteger("entry_vm_limit", 1, kMaxEntryVms));
  reader.ReadNamedTables("service", [&read](toml_reader& service_reader) {
    read.services.push_back(ReadService(service_reader, read.entry_vm_limit));
  });
  reader.Finish();
  if (problems.empty())
    return read;
  SortByLine(problems);
  std::vector<bundle_error> errors;
  std::transform(problems.begin(), problems.end(), std::back_inserter(errors),
                 ToBundleError);
  return tl::unexpected(std::move(errors));
}

}  // namespace papayakeel
