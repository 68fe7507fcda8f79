// Generation, derivation and hexadecimal encoding of Ed25519 keys.
#include "servers/bundles/bundle_key.h"

#include <sodium.h>

namespace papayakeel {

std::optional<std::array<unsigned char, 32>> ParseKey(std::string_view hex) {
  std::array<unsigned char, 32> key{};
  std::size_t length = 0;
  const char* end = nullptr;
  const int status = sodium_hex2bin(key.data(), key.size(), hex.data(),
                                    hex.size(), nullptr, &length, &end);
  if (status != 0 || length != key.size() || end != hex.data() + hex.size())
    return std::nullopt;
  return key;
}

std::string KeyToHex(const std::array<unsigned char, 32>& key) {
  std::string hex(key.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), key.data(), key.size());
  hex.pop_back();
  return hex;
}

bundle_secret_key MakeSecretKey() {
  bundle_secret_key secret{};
  randombytes_buf(secret.data(), secret.size());
  return secret;
}

bundle_public_key DerivePublicKey(const bundle_secret_key& secret) {
  static_assert(std::tuple_size<bundle_secret_key>::value ==
                crypto_sign_SEEDBYTES);
  static_assert(std::tuple_size<bundle_public_key>::value ==
                crypto_sign_PUBLICKEYBYTES);
  bundle_public_key key{};
  std::array<unsigned char, crypto_sign_SECRETKEYBYTES> expanded{};
  crypto_sign_seed_keypair(key.data(), expanded.data(), secret.data());
  sodium_memzero(expanded.data(), expanded.size());
  return key;
}

}  // namespace papayakeel
