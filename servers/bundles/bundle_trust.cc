// Bundle trust settings of a process.
#include "servers/bundles/bundle_trust.h"

#include <optional>

namespace papayakeel {

bundle_trust MakeBundleTrust(const process_settings& settings) {
  bundle_trust trust;
  trust.deployment = settings.deployment;
  trust.minimum_version = settings.minimum_bundle_version;
  for (const auto& [id, hex] : settings.trusted_keys) {
    const std::optional<bundle_public_key> key = ParseKey(hex);
    if (key)
      trust.keys[id] = *key;
  }
  return trust;
}

}  // namespace papayakeel
