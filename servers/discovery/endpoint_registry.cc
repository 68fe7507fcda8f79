// Applies endpoint changes and notifies subscribers of them.
#include "servers/discovery/endpoint_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace papayakeel {

namespace {

// Announcements of endpoints that are no longer listed, at most.
constexpr std::size_t kMaxUnlistedAnnouncements = 1024;

// Reports of one cold period state its end with this much variation, because
// they take different times to arrive.
constexpr time_span kWarmUpVariation = std::chrono::milliseconds(200);

bool IsAbout(monotonic_time left, monotonic_time right) {
  return std::max(left, right) - std::min(left, right) <= kWarmUpVariation;
}

}  // namespace

bool endpoint_registry::Put(const endpoint_entry& entry) {
  endpoint_entry stored = entry;
  stored.is_leaving |= HasAnnouncedLeaving(entry.id, entry.started_unix_ms);
  const auto found = entries_.find(entry.id);
  if (found == entries_.end()) {
    entries_.emplace(entry.id, std::move(stored));
    AddToService(entry);
    Notify(entry.service);
    return true;
  }
  endpoint_entry& known = found->second;
  if (entry.IsOlderThan(known))
    return false;
  // A report that is read again does not begin the cold period anew.
  if (!known.IsOlderThan(entry))
    stored.warm_up_ends_at = known.warm_up_ends_at;
  const std::string previous_service = known.service;
  const bool is_same =
      known.started_unix_ms == stored.started_unix_ms &&
      known.service == stored.service && known.address == stored.address &&
      known.availability_zone == stored.availability_zone &&
      known.slots == stored.slots && known.is_leaving == stored.is_leaving &&
      IsAbout(known.warm_up_ends_at, stored.warm_up_ends_at);
  if (previous_service != entry.service) {
    RemoveFromService(known);
    AddToService(entry);
  }
  known = std::move(stored);
  if (is_same)
    return true;
  Notify(entry.service);
  if (previous_service != entry.service)
    Notify(previous_service);
  return true;
}

bool endpoint_registry::MarkLeaving(const std::string& id,
                                    std::uint64_t started_unix_ms) {
  const auto announced = announced_.find(id);
  const bool is_news =
      announced == announced_.end() || announced->second < started_unix_ms;
  if (!is_news)
    return false;
  DropOldAnnouncements();
  announced_[id] = started_unix_ms;
  const auto found = entries_.find(id);
  const bool changes_entry = found != entries_.end() &&
                             found->second.started_unix_ms == started_unix_ms &&
                             !found->second.is_leaving;
  if (changes_entry) {
    found->second.is_leaving = true;
    Notify(std::string(found->second.service));
  }
  return true;
}

bool endpoint_registry::HasAnnouncedLeaving(
    const std::string& id,
    std::uint64_t started_unix_ms) const {
  const auto announced = announced_.find(id);
  return announced != announced_.end() && announced->second == started_unix_ms;
}

void endpoint_registry::DropOldAnnouncements() {
  if (announced_.size() <= entries_.size() + kMaxUnlistedAnnouncements)
    return;
  for (auto each = announced_.begin(); each != announced_.end();) {
    const bool is_listed = entries_.count(each->first) > 0;
    each = is_listed ? std::next(each) : announced_.erase(each);
  }
}

void endpoint_registry::Remove(const std::string& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return;
  const std::string service_name = found->second.service;
  RemoveFromService(found->second);
  entries_.erase(found);
  Notify(service_name);
}

void endpoint_registry::RetainOnly(const std::set<std::string>& ids) {
  const batch changes(*this);
  std::vector<std::string> removed_ids;
  for (const auto& [id, entry] : entries_) {
    if (ids.count(id) == 0)
      removed_ids.push_back(id);
  }
  for (const std::string& id : removed_ids)
    Remove(id);
}

const std::vector<std::string>& endpoint_registry::IdsOf(
    const std::string& service_name) const {
  static const std::vector<std::string> kNoIds;
  const auto found = ids_by_service_.find(service_name);
  return found == ids_by_service_.end() ? kNoIds : found->second;
}

void endpoint_registry::AddToService(const endpoint_entry& entry) {
  std::vector<std::string>& ids = ids_by_service_[entry.service];
  ids.insert(std::lower_bound(ids.begin(), ids.end(), entry.id), entry.id);
}

void endpoint_registry::RemoveFromService(const endpoint_entry& entry) {
  const auto found = ids_by_service_.find(entry.service);
  std::vector<std::string>& ids = found->second;
  ids.erase(std::lower_bound(ids.begin(), ids.end(), entry.id));
  if (ids.empty())
    ids_by_service_.erase(found);
}

std::vector<endpoint_entry> endpoint_registry::All() const {
  std::vector<endpoint_entry> all;
  for (const auto& [id, entry] : entries_)
    all.push_back(entry);
  return all;
}

const endpoint_entry* endpoint_registry::Find(const std::string& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

nlohmann::json endpoint_registry::DumpState() const {
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& [id, entry] : entries_) {
    entries.push_back({{"id", id},
                       {"service", entry.service},
                       {"address", entry.address.ToString()},
                       {"availability_zone", entry.availability_zone},
                       {"slots", entry.slots},
                       {"leaving", entry.is_leaving}});
  }
  return {{"endpoints", entries}};
}

endpoint_registry::batch::batch(endpoint_registry& registry)
    : registry_(registry) {
  ++registry_.open_batches_;
}

endpoint_registry::batch::~batch() {
  registry_.EndBatch();
}

void endpoint_registry::EndBatch() {
  if (--open_batches_ > 0)
    return;
  const std::set<std::string> changed = std::move(changed_services_);
  changed_services_.clear();
  for (const std::string& service_name : changed)
    Notify(service_name);
}

void endpoint_registry::Notify(const std::string& service_name) {
  if (open_batches_ > 0) {
    changed_services_.insert(service_name);
    return;
  }
  for (const listener& each : listeners_)
    each(service_name);
}

}  // namespace papayakeel
