// Bundles of the soak.
#include "misc/soak/bundle_office.h"

#include "servers/bundles/bundle.h"
#include "servers/bundles/bundle_content.h"
#include "servers/bundles/bundle_envelope.h"

namespace papayakeel::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::array<const char*, 2> kSigners{"anna", "bo"};

service_definition MakeService(const std::string& name,
                               double probe_budget_ms,
                               int queue_limit) {
  service_definition service;
  service.name = name;
  service.homes = 2;
  service.queue_limit = queue_limit;
  service.probe_budget_per_second =
      milliseconds(static_cast<int>(probe_budget_ms));
  service.answer_id_header = "Papayakeel-Request-Id";
  work_class lookups;
  lookups.name = "lookups";
  lookups.methods = {"GET"};
  lookups.patience = milliseconds(600);
  work_class orders;
  orders.name = "orders";
  orders.methods = {"POST"};
  orders.once_only = true;
  orders.key = key_requirement::kOptional;
  orders.patience = milliseconds(600);
  orders.importance = 1;
  orders.not_run_statuses = {503};
  service.classes = {lookups, orders};
  return service;
}

}  // namespace

bundle_office::bundle_office(int entry_vms) : entry_vms_(entry_vms) {
  settings_.deployment = "soak";
  for (std::size_t each = 0; each < kSigners.size(); ++each) {
    secrets_[each].fill(static_cast<unsigned char>(each + 1));
    settings_.trusted_keys[kSigners[each]] =
        KeyToHex(DerivePublicKey(secrets_[each]));
  }
}

signed_bundle bundle_office::SignNext(double probe_budget_ms) {
  ++version_;
  return Sign(probe_budget_ms, 0, 200);
}

signed_bundle bundle_office::SignConflicting(double probe_budget_ms) const {
  return Sign(probe_budget_ms, 1, 100);
}

signed_bundle bundle_office::Sign(double probe_budget_ms,
                                  int signer,
                                  int queue_limit) const {
  bundle made;
  made.deployment = settings_.deployment;
  made.version = version_;
  made.entry_vm_limit = entry_vms_;
  made.services = {MakeService("bokning", probe_budget_ms, queue_limit),
                   MakeService("releasedesk", probe_budget_ms, queue_limit)};
  const tl::expected<bundle_envelope, bundle_error> envelope =
      SignBundle(made, kSigners[signer], secrets_[signer]);
  signed_bundle done;
  done.published = envelope->Encode();
  done.rank = {version_, HashPrefix(HashBundleContent(envelope->content))};
  return done;
}

}  // namespace papayakeel::soak
