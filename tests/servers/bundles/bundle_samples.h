// Sample bundles, keys and trust settings that several tests share.
#ifndef TESTS_SERVERS_BUNDLES_BUNDLE_SAMPLES_H_
#define TESTS_SERVERS_BUNDLES_BUNDLE_SAMPLES_H_

#include <cstdint>
#include <string>

#include "servers/bundles/bundle.h"
#include "servers/bundles/bundle_envelope.h"
#include "servers/bundles/bundle_key.h"
#include "servers/bundles/bundle_parser.h"
#include "servers/bundles/bundle_trust.h"

namespace papayakeel::samples {

// A valid bundle in which every setting differs from its default.
inline constexpr char kFullBundle[] = R"(deployment = "norrsken"
version = 7
entry_vm_limit = 20

[[service]]
name = "bokning"
endpoint_source = "static"
endpoints = ["10.0.0.1:8080", "[fd00::1]:8081"]
homes = 2
slots_per_endpoint = 3
connection_limit = 200
expected_service_time_ms = 30
probe_budget_ms_per_second = 24
probe_cost_ms = 5
retry_share = 0.3
hedge_share = 0.07
queue_limit = 99
answer_id_header = "X-Request-Id"

[service.zone_weights]
sve-mitt-a = 1.5
sve-mitt-b = 0

[[service.class]]
name = "book"
methods = ["POST", "PUT"]
path_prefix = "/bookings"
once_only = true
key = "optional"
patience_ms = 5000
importance = 1
max_body_bytes = 1000
max_answer_bytes = 2000
not_run_statuses = [409, 503]

[[service.class]]
name = "lookup"
)";

// Returns a secret key that depends only on `number`.
inline bundle_secret_key MakeSecret(unsigned char number) {
  bundle_secret_key secret{};
  secret.fill(number);
  return secret;
}

// Returns settings that trust the keys "anna" (secret 1) and "bertil" (secret
// 2).
inline bundle_trust MakeTrust() {
  bundle_trust trust;
  trust.deployment = "norrsken";
  trust.keys["anna"] = DerivePublicKey(MakeSecret(1));
  trust.keys["bertil"] = DerivePublicKey(MakeSecret(2));
  return trust;
}

// Returns a valid bundle. Different values of `queue_limit` give bundles of
// equal version different content.
inline bundle MakeBundle(std::uint64_t version, int queue_limit = 100) {
  bundle result = *ParseBundle(kFullBundle);
  result.version = version;
  result.services.front().queue_limit = queue_limit;
  return result;
}

inline std::string Publish(const bundle& content,
                           const std::string& key_id = "anna",
                           unsigned char secret = 1) {
  return SignBundle(content, key_id, MakeSecret(secret))->Encode();
}

}  // namespace papayakeel::samples

#endif  // TESTS_SERVERS_BUNDLES_BUNDLE_SAMPLES_H_
