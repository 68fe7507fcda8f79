// Comparison of two desired states, entry by entry and field by field.
#include "servers/routing/state_diff.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

#include "servers/routing/route_table.h"

namespace papayakeel {

namespace {

using kind = entry_difference::kind;

std::vector<field_difference> CompareFields(const entry_fields& before,
                                            const entry_fields& after) {
  std::set<std::string> names;
  for (const auto& [name, value] : before)
    names.insert(name);
  for (const auto& [name, value] : after)
    names.insert(name);
  std::vector<field_difference> differences;
  for (const std::string& name : names) {
    const auto old_field = before.find(name);
    const auto new_field = after.find(name);
    const bool was_present = old_field != before.end();
    const bool is_present = new_field != after.end();
    if (was_present && is_present &&
        old_field->second.compared == new_field->second.compared) {
      continue;
    }
    field_difference difference{name, std::nullopt, std::nullopt};
    if (was_present)
      difference.before = old_field->second.shown;
    if (is_present)
      difference.after = new_field->second.shown;
    differences.push_back(std::move(difference));
  }
  return differences;
}

// Finds routes with the table that the entry VMs use, so that hosts are
// compared in the same way.
class route_index {
 public:
  explicit route_index(const described_state& described)
      : described_(described),
        state_(std::make_shared<desired_state>(described.state)),
        table_(state_) {}

  // Returns the fields of the route in effect, or nullptr.
  const entry_fields* Find(const route& wanted) const {
    const route* found = table_.Find(wanted.host, wanted.prefix);
    if (found == nullptr || found->prefix != wanted.prefix)
      found = FindUnmatchable(wanted);
    if (found == nullptr)
      return nullptr;
    return &described_.routes[static_cast<std::size_t>(found -
                                                       state_->routes.data())];
  }

  bool IsInEffect(std::size_t position) const {
    return Find(state_->routes[position]) == &described_.routes[position];
  }

 private:
  // Finds a route whose prefix no path matches, for example because its last
  // slash is missing. The table never returns it, but the operator wrote it.
  const route* FindUnmatchable(const route& wanted) const {
    const auto found = std::find_if(
        state_->routes.rbegin(), state_->routes.rend(),
        [&wanted](const route& each) {
          return each.host == wanted.host && each.prefix == wanted.prefix;
        });
    return found == state_->routes.rend() ? nullptr : &*found;
  }

  const described_state& described_;
  std::shared_ptr<const desired_state> state_;
  route_table table_;  // Points into `state_`.
};

std::string Name(const route& named) {
  return named.host + " " + named.prefix;
}

std::vector<entry_difference> CompareRoutes(const described_state& before,
                                            const described_state& after) {
  const route_index old_routes(before);
  const route_index new_routes(after);
  std::vector<entry_difference> differences;
  for (std::size_t i = 0; i < after.routes.size(); ++i) {
    if (!new_routes.IsInEffect(i))
      continue;
    const route& each = after.state.routes[i];
    const entry_fields* previous = old_routes.Find(each);
    if (previous == nullptr) {
      differences.push_back({kind::kAdded, Name(each), {}});
      continue;
    }
    std::vector<field_difference> fields =
        CompareFields(*previous, after.routes[i]);
    if (!fields.empty())
      differences.push_back({kind::kChanged, Name(each), std::move(fields)});
  }
  for (std::size_t i = 0; i < before.routes.size(); ++i) {
    const route& each = before.state.routes[i];
    if (old_routes.IsInEffect(i) && new_routes.Find(each) == nullptr)
      differences.push_back({kind::kRemoved, Name(each), {}});
  }
  return differences;
}

std::vector<entry_difference> CompareServices(const described_state& before,
                                              const described_state& after) {
  std::vector<entry_difference> differences;
  for (const auto& [name, fields] : after.services) {
    const auto previous = before.services.find(name);
    if (previous == before.services.end()) {
      differences.push_back({kind::kAdded, name, {}});
      continue;
    }
    std::vector<field_difference> changed =
        CompareFields(previous->second, fields);
    if (!changed.empty())
      differences.push_back({kind::kChanged, name, std::move(changed)});
  }
  for (const auto& [name, fields] : before.services) {
    if (after.services.count(name) == 0)
      differences.push_back({kind::kRemoved, name, {}});
  }
  return differences;
}

}  // namespace

const char* ToString(entry_difference::kind change) {
  switch (change) {
    case kind::kAdded:
      return "added";
    case kind::kRemoved:
      return "removed";
    case kind::kChanged:
      return "changed";
  }
  return "unknown";
}

state_difference CompareStates(const described_state& before,
                               const described_state& after) {
  state_difference difference;
  difference.version_before = before.state.version;
  difference.version_after = after.state.version;
  difference.routes = CompareRoutes(before, after);
  difference.services = CompareServices(before, after);
  difference.limits = CompareFields(before.limits, after.limits);
  return difference;
}

}  // namespace papayakeel
