// The published form of a signed bundle: one CBOR map that holds the canonical
// content and an Ed25519 signature over all other members of the map.
//
//   {"content": bytes, "deployment": text, "format": 1, "key_id": text,
//    "signature": bytes, "version": unsigned}
//
// Only the shortest CBOR encoding with sorted keys is accepted. Each envelope
// therefore has exactly one valid encoding.
#ifndef SERVERS_BUNDLES_BUNDLE_ENVELOPE_H_
#define SERVERS_BUNDLES_BUNDLE_ENVELOPE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "servers/bundles/bundle.h"
#include "servers/bundles/bundle_error.h"
#include "servers/bundles/bundle_key.h"

namespace papayakeel {

// Size limit of a value in the configuration service.
inline constexpr std::size_t kMaxEnvelopeBytes = 1 << 20;

struct bundle_envelope {
  std::string deployment;
  std::uint64_t version = 0;
  std::string key_id;
  std::string content;  // Canonical JSON.
  std::array<unsigned char, 64> signature{};

  // Returns the CBOR encoding.
  std::string Encode() const;

  // Decodes an envelope without verifying the signature. Fails with kOversized,
  // kUnsigned or kSyntax.
  static tl::expected<bundle_envelope, bundle_error> Decode(
      std::string_view published);

  // Returns whether the signature over all other members is valid for `key`.
  bool IsSignedBy(const bundle_public_key& key) const;
};

// Signs a validated bundle. Fails with kOversized when the encoded envelope
// exceeds kMaxEnvelopeBytes.
tl::expected<bundle_envelope, bundle_error> SignBundle(
    const bundle& checked,
    const std::string& key_id,
    const bundle_secret_key& secret);

}  // namespace papayakeel

#endif  // SERVERS_BUNDLES_BUNDLE_ENVELOPE_H_
