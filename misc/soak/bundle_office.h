// Two operators who sign bundles for the soak's deployment.
#ifndef MISC_SOAK_BUNDLE_OFFICE_H_
#define MISC_SOAK_BUNDLE_OFFICE_H_

#include <array>
#include <cstdint>
#include <string>
#include <utility>

#include "servers/bundles/bundle_key.h"
#include "servers/settings/process_settings.h"

namespace papayakeel::soak {

struct signed_bundle {
  std::string published;
  std::pair<std::uint64_t, std::uint64_t> rank;  // Version and content hash.
};

class bundle_office {
 public:
  explicit bundle_office(int entry_vms);

  // Settings of a process that trusts both operators.
  const process_settings& settings() const { return settings_; }

  std::uint64_t version() const { return version_; }
  // The next version.
  signed_bundle SignNext(double probe_budget_ms);
  // Another bundle of the same version, by the other operator.
  signed_bundle SignConflicting(double probe_budget_ms) const;

 private:
  signed_bundle Sign(double probe_budget_ms, int signer, int queue_limit) const;

  const int entry_vms_;
  process_settings settings_;
  std::array<bundle_secret_key, 2> secrets_{};
  std::uint64_t version_ = 0;
};

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_BUNDLE_OFFICE_H_
