// Ed25519 keys that operators use to sign bundles.
#ifndef SERVERS_BUNDLES_BUNDLE_KEY_H_
#define SERVERS_BUNDLES_BUNDLE_KEY_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace papayakeel {

using bundle_public_key = std::array<unsigned char, 32>;

// The seed from which the key pair is derived (RFC 8032).
using bundle_secret_key = std::array<unsigned char, 32>;

// Decodes a key from 64 hexadecimal digits. Returns nothing for other text.
std::optional<std::array<unsigned char, 32>> ParseKey(std::string_view hex);

std::string KeyToHex(const std::array<unsigned char, 32>& key);

// Generates a secret key with the random generator of the operating system.
bundle_secret_key MakeSecretKey();

bundle_public_key DerivePublicKey(const bundle_secret_key& secret);

}  // namespace papayakeel

#endif  // SERVERS_BUNDLES_BUNDLE_KEY_H_
