// Changes of the set of evacuated zones.
#include "servers/discovery/evacuated_zones.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace papayakeel {

bool evacuated_zones::Add(const std::string& zone) {
  missing_.erase(zone);
  if (!zones_.insert(zone).second)
    return false;
  Notify();
  return true;
}

bool evacuated_zones::Remove(const std::string& zone) {
  return !RemoveAll({zone}).empty();
}

std::vector<std::string> evacuated_zones::RetainOnly(
    const std::set<std::string>& listed,
    bool may_return) {
  std::set<std::string> unlisted;
  std::set_difference(zones_.begin(), zones_.end(), listed.begin(),
                      listed.end(), std::inserter(unlisted, unlisted.end()));
  missing_ = unlisted;
  return may_return ? std::vector<std::string>() : RemoveAll(unlisted);
}

std::vector<std::string> evacuated_zones::RemoveMissing() {
  const std::set<std::string> removed = missing_;
  return RemoveAll(removed);
}

std::vector<std::string> evacuated_zones::RemoveAll(
    const std::set<std::string>& removed) {
  std::vector<std::string> found;
  for (const std::string& zone : removed) {
    missing_.erase(zone);
    if (zones_.erase(zone) > 0)
      found.push_back(zone);
  }
  if (!found.empty())
    Notify();
  return found;
}

void evacuated_zones::Notify() const {
  for (const listener& each : listeners_)
    each();
}

nlohmann::json evacuated_zones::DumpState() const {
  return {{"zones", zones_}, {"missing", missing_}};
}

}  // namespace papayakeel
