// Checks of references, shadowed entries and limits.
#include "servers/routing/state_check.h"

#include <map>
#include <memory>

#include "servers/routing/route_table.h"

namespace papayakeel {

namespace {

using code = state_finding::code;

bool IsPrefix(const std::string& text) {
  return !text.empty() && text.front() == '/' && text.back() == '/';
}

void CheckServices(const located_state& state,
                   std::vector<state_finding>& findings) {
  std::map<std::string, const located_service*> in_effect;
  for (const located_service& each : state.services) {
    if (each.name.is_read())
      in_effect[each.name.value] = &each;
  }
  bool are_names_known = state.has_service_list;
  for (const located_service& each : state.services) {
    if (!each.name.is_read()) {
      are_names_known = false;
      continue;
    }
    const located_service* winner = in_effect[each.name.value];
    if (winner != &each) {
      findings.push_back({code::kNeverMatches, each.location,
                          "has no effect, because the service \"" +
                              each.name.value + "\" is defined again at " +
                              winner->location,
                          winner->location});
    }
  }
  // A reference may be to the service whose name could not be read.
  if (!are_names_known)
    return;
  for (const located_route& route : state.routes) {
    for (const located_target& target : route.targets) {
      if (!target.service.is_read() ||
          in_effect.count(target.service.value) > 0) {
        continue;
      }
      findings.push_back(
          {code::kUndefinedService, target.service.location,
           "the service \"" + target.service.value + "\" is not defined", ""});
    }
  }
}

// Looks each route up in the table that the entry VMs use, so that both agree
// on the route in effect.
void CheckMatches(const located_state& state,
                  std::vector<state_finding>& findings) {
  const std::shared_ptr<desired_state> routes =
      std::make_shared<desired_state>();
  std::vector<const located_route*> sources;
  for (const located_route& each : state.routes) {
    if (!each.host.is_read() || !each.prefix.is_read())
      continue;
    route copy;
    copy.host = each.host.value;
    copy.prefix = each.prefix.value;
    routes->routes.push_back(copy);
    sources.push_back(&each);
  }
  const route_table table(routes);
  for (std::size_t i = 0; i < sources.size(); ++i) {
    const located_route& source = *sources[i];
    if (!IsPrefix(source.prefix.value)) {
      findings.push_back({code::kBadPrefix, source.prefix.location,
                          "\"" + source.prefix.value +
                              "\" does not begin and end with a slash",
                          ""});
      continue;
    }
    const route* found = table.Find(source.host.value, source.prefix.value);
    if (found == &routes->routes[i])
      continue;
    if (found != nullptr && found->prefix == source.prefix.value) {
      const std::string& winner =
          sources[static_cast<std::size_t>(found - routes->routes.data())]
              ->location;
      findings.push_back(
          {code::kNeverMatches, source.location,
           "never matches, because " + winner + " has the same host and prefix",
           winner});
    } else {
      findings.push_back(
          {code::kNeverMatches, source.prefix.location,
           "never matches, because a path ends at the first ? or #", ""});
    }
  }
}

void CheckRouteLimits(const located_route& route,
                      std::vector<state_finding>& findings) {
  if (route.goal.is_read() && route.timeout.is_read() &&
      route.goal.value > route.timeout.value) {
    findings.push_back({code::kContradiction, route.goal.location,
                        "is longer than " + route.timeout.location, ""});
  }
  if (route.repeat.is_read() && route.max_attempts.is_read() &&
      !PermitsRepeats(route.repeat.value) && route.max_attempts.value > 1) {
    findings.push_back({code::kContradiction, route.max_attempts.location,
                        "is above 1, but requests of the kind at " +
                            route.repeat.location +
                            " are not repeated once they may have run",
                        ""});
  }
  for (const located_target& target : route.targets) {
    if (target.weight.is_read() && target.weight.value == 0) {
      findings.push_back({code::kZeroWeight, target.weight.location,
                          "is 0, so the target gets no requests", ""});
    }
  }
}

}  // namespace

bool state_finding::is_error() const {
  return reason == code::kNotReadable || reason == code::kUndefinedService ||
         reason == code::kBadPrefix;
}

const char* ToString(state_finding::code reason) {
  switch (reason) {
    case code::kNotReadable:
      return "not_readable";
    case code::kUndefinedService:
      return "undefined_service";
    case code::kBadPrefix:
      return "bad_prefix";
    case code::kNeverMatches:
      return "never_matches";
    case code::kContradiction:
      return "contradiction";
    case code::kZeroWeight:
      return "zero_weight";
  }
  return "unknown";
}

std::vector<state_finding> CheckState(const located_state& state) {
  std::vector<state_finding> findings;
  CheckServices(state, findings);
  CheckMatches(state, findings);
  for (const located_route& each : state.routes)
    CheckRouteLimits(each, findings);
  if (state.header_timeout.is_read() && state.idle_timeout.is_read() &&
      state.header_timeout.value > state.idle_timeout.value) {
    findings.push_back({code::kContradiction, state.header_timeout.location,
                        "is longer than " + state.idle_timeout.location, ""});
  }
  return findings;
}

}  // namespace papayakeel
