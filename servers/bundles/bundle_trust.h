// Criteria from the process settings that a bundle must meet to be accepted.
#ifndef SERVERS_BUNDLES_BUNDLE_TRUST_H_
#define SERVERS_BUNDLES_BUNDLE_TRUST_H_

#include <cstdint>
#include <map>
#include <string>

#include "servers/bundles/bundle_key.h"
#include "servers/settings/process_settings.h"

namespace papayakeel {

struct bundle_trust {
  std::string deployment;
  std::map<std::string, bundle_public_key> keys;  // By key id.
  std::uint64_t minimum_version = 0;
};

// Skips keys that are not 64 hexadecimal digits; the settings parser already
// rejects such keys.
bundle_trust MakeBundleTrust(const process_settings& settings);

}  // namespace papayakeel

#endif  // SERVERS_BUNDLES_BUNDLE_TRUST_H_
