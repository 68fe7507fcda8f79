// The availability zones that the operator has evacuated: nothing may be sent
// to their endpoints.
#ifndef SERVERS_DISCOVERY_EVACUATED_ZONES_H_
#define SERVERS_DISCOVERY_EVACUATED_ZONES_H_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "core/service.h"

namespace papayakeel {

class evacuated_zones : public service {
 public:
  static constexpr std::string_view kName = "evacuated_zones";

  using listener = std::function<void()>;

  std::string_view name() const override { return kName; }
  nlohmann::json DumpState() const override;

  // Return whether the set has changed.
  bool Add(const std::string& zone);
  bool Remove(const std::string& zone);
  // Applies a listing that contains the evacuations of `listed`. Removes all
  // others or, with `may_return`, marks them as missing. Returns the removed
  // zones.
  std::vector<std::string> RetainOnly(const std::set<std::string>& listed,
                                      bool may_return);
  // Removes the zones that are missing and were not added again. Returns them.
  std::vector<std::string> RemoveMissing();

  bool Contains(const std::string& zone) const {
    return zones_.count(zone) > 0;
  }
  bool HasMissing() const { return !missing_.empty(); }
  const std::set<std::string>& zones() const { return zones_; }

  // Listeners are called after each change of the set.
  void Subscribe(listener added) { listeners_.push_back(std::move(added)); }

 private:
  std::vector<std::string> RemoveAll(const std::set<std::string>& removed);
  void Notify() const;

  std::set<std::string> zones_;
  // Not contained in the newest listing. Always a subset of `zones_`.
  std::set<std::string> missing_;
  std::vector<listener> listeners_;
};

}  // namespace papayakeel

#endif  // SERVERS_DISCOVERY_EVACUATED_ZONES_H_
