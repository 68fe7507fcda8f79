// The endpoints listed in the platform's store. Entries are ordered by start
// time and report sequence number; an older entry never replaces a newer one.
#ifndef SERVERS_DISCOVERY_ENDPOINT_REGISTRY_H_
#define SERVERS_DISCOVERY_ENDPOINT_REGISTRY_H_

#include <cstddef>
#include <cstdint>
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

  // Called with the name of the service whose endpoints have changed.
  using listener = std::function<void(const std::string& service)>;

  // Changes that are made during its lifetime cause one notification for each
  // changed service, when the outermost batch ends. Lookups return each change
  // immediately. A batch must end within the event that began it, so that no
  // listener learns late of an endpoint that leaves.
  class batch {
   public:
    explicit batch(endpoint_registry& registry);
    ~batch();
    batch(const batch&) = delete;
    batch& operator=(const batch&) = delete;

   private:
    endpoint_registry& registry_;
  };

  std::string_view name() const override { return kName; }
  nlohmann::json DumpState() const override;

  // Applies one entry. Returns false when an entry of a later start, or of a
  // later report of the same start, is already stored.
  bool Put(const endpoint_entry& entry);
  // Removes an entry; an unknown id is ignored.
  void Remove(const std::string& id);
  // Records that the start `started_unix_ms` of an endpoint has announced its
  // leaving itself. It stays leaving, whatever its entry says, until it starts
  // again. Returns false when that is known already.
  bool MarkLeaving(const std::string& id, std::uint64_t started_unix_ms);
  // Whether the start has announced its leaving itself.
  bool HasAnnouncedLeaving(const std::string& id,
                           std::uint64_t started_unix_ms) const;
  // Removes every entry whose id is not in `ids`. Used after a full listing of
  // the store.
  void RetainOnly(const std::set<std::string>& ids);

  // Records that a complete listing has been applied since the start. Until
  // then, endpoints may be missing.
  void SetListed() { is_listed_ = true; }
  bool is_listed() const { return is_listed_; }

  // Sorted ids of the endpoints of a service, including those that are leaving.
  const std::vector<std::string>& IdsOf(const std::string& service) const;
  std::vector<endpoint_entry> All() const;
  const endpoint_entry* Find(const std::string& id) const;
  std::size_t size() const { return entries_.size(); }

  void Subscribe(listener added) { listeners_.push_back(std::move(added)); }

 private:
  // Notifies the listeners, or defers the notification to the end of the batch.
  void Notify(const std::string& service);
  void EndBatch();
  void DropOldAnnouncements();

  void AddToService(const endpoint_entry& entry);
  void RemoveFromService(const endpoint_entry& entry);

  std::map<std::string, endpoint_entry> entries_;
  // Sorted ids of the entries of each service. A service without entries has no
  // key.
  std::map<std::string, std::vector<std::string>> ids_by_service_;
  // Start times of the endpoints that announced their leaving, by id. Kept for
  // some time after the entry is removed: a store that comes back from an older
  // copy may list it again.
  std::map<std::string, std::uint64_t> announced_;
  std::vector<listener> listeners_;
  bool is_listed_ = false;
  std::size_t open_batches_ = 0;
  std::set<std::string> changed_services_;  // Empty without an open batch.
};

}  // namespace papayakeel

#endif  // SERVERS_DISCOVERY_ENDPOINT_REGISTRY_H_
