// Holds the bundle in force in this process and notifies listeners when it
// changes.
#ifndef SERVERS_BUNDLES_BUNDLE_SERVICE_H_
#define SERVERS_BUNDLES_BUNDLE_SERVICE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "core/service.h"
#include "servers/bundles/bundle.h"
#include "servers/bundles/bundle_error.h"
#include "servers/bundles/bundle_store.h"
#include "servers/settings/process_settings.h"

namespace papayakeel {

class bundle_service : public service {
 public:
  static constexpr std::string_view kName = "bundles";

  // Reads the deployment, the trusted keys and the minimum bundle version from
  // `settings`.
  explicit bundle_service(const process_settings& settings);

  std::string_view name() const override { return kName; }

  // {"version", "content_hash", "key_id", "deployment", "minimum_version",
  //  "trusted_keys": [id], "refusals": {code: count},
  //  "conflicts": {"count", "last": {"version", "content_hash", "key_id"}}};
  // Until a bundle is in force, version is 0 and content_hash is empty. "last"
  // is present only after a conflict. Hashes are hexadecimal.
  nlohmann::json DumpState() const override;

  // Verifies an encoded envelope and puts its bundle into force. Returns true
  // when the bundle in force changed, false when it already had this content,
  // and an error when the bundle is rejected.
  tl::expected<bool, bundle_error> Offer(std::string_view published);

  // The bundle in force, or null until the first bundle is accepted.
  const bundle_pointer& current() const { return store_.current(); }

  // Encoded envelope of the bundle in force; empty until the first bundle is
  // accepted.
  const std::string& published() const { return store_.published(); }

  // First 8 bytes of the content hash of the bundle in force, used to order
  // bundles with equal versions. 0 until the first bundle is accepted.
  std::uint64_t content_hash() const {
    return HashPrefix(store_.content_hash());
  }

  // Gives access to the counters that are exported as metrics.
  const bundle_store& store() const { return store_; }

  // Registers `listener`, which is called after each change of the bundle in
  // force.
  void Subscribe(std::function<void(const bundle_pointer&)> listener);

 private:
  const bundle_trust trust_;
  bundle_store store_;
  std::vector<std::function<void(const bundle_pointer&)>> listeners_;
};

}  // namespace papayakeel

#endif  // SERVERS_BUNDLES_BUNDLE_SERVICE_H_
