// The endpoints that the platform's store lists, and what it takes to believe
// a change: entries of an earlier start never replace those of a later one.
#ifndef SERVERS_DISCOVERY_ENDPOINT_REGISTRY_H_
#define SERVERS_DISCOVERY_ENDPOINT_REGISTRY_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/service.h"
#include "servers/discovery/endpoint_entry.h"

namespace papayakeel {

class endpoint_registry : public service {
 public:
  static constexpr std::string_view kName = "endpoint_registry";

  // Called with the service whose endpoints have changed.
  using listener = std::function<void(const std::string& service)>;

  std::string_view name() const override { return kName; }
  nlohmann::json DumpState() const override;

  // Applies one entry. Returns false
  // when an entry of a later start or report is known.
  bool Put(const endpoint_entry& entry);
  // Removes an entry; an unknown one is ignored.
  void Remove(const std::string& id);
  // Removes every entry whose id is not in `ids`, after a full listing.
  void RetainOnly(const std::set<std::string>& ids);

  // Ids of the endpoints of a service in order, leaving ones included.
  const std::vector<std::string>& IdsOf(const std::string& service) const;
  std::vector<endpoint_entry> All() const;
  const endpoint_entry* Find(const std::string& id) const;
  std::size_t size() const { return entries_.size(); }

  void Subscribe(listener added) { listeners_.push_back(std::move(added)); }

 private:
  void Notify(const std::string& service) const;

  void AddToService(const endpoint_entry& entry);
  void RemoveFromService(const endpoint_entry& entry);

  std::map<std::string, endpoint_entry> entries_;
  // Sorted ids of exactly the entries of each service.
  std::map<std::string, std::vector<std::string>> ids_by_service_;
  std::vector<listener> listeners_;
};

}  // namespace papayakeel

#endif  // SERVERS_DISCOVERY_ENDPOINT_REGISTRY_H_
