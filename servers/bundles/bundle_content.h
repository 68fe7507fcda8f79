// Canonical form of a validated bundle: JSON with sorted keys, without white
// space, and with all defaults written out. The JSON keys equal the keys of the
// TOML file that operators write.
#ifndef SERVERS_BUNDLES_BUNDLE_CONTENT_H_
#define SERVERS_BUNDLES_BUNDLE_CONTENT_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "servers/bundles/bundle.h"
#include "servers/bundles/bundle_error.h"

namespace papayakeel {

// BLAKE2b-256 hash of the canonical content. Bundles with equal versions are
// ordered by comparing their hashes byte by byte.
using bundle_hash = std::array<unsigned char, 32>;

std::string MakeBundleContent(const bundle& checked);

// Parses the canonical form with the same checks as the operators' TOML. Absent
// optional settings get their defaults, which allows a newer papayakeeld to
// read bundles that an older papayakeelctl signed.
tl::expected<bundle, std::vector<bundle_error>> ParseBundleContent(
    std::string_view content);

bundle_hash HashBundleContent(std::string_view content);

// Returns the first 8 bytes as a big-endian number. Different prefixes compare
// in the same order as the full hashes.
std::uint64_t HashPrefix(const bundle_hash& hash);

std::string ToHex(const bundle_hash& hash);

}  // namespace papayakeel

#endif  // SERVERS_BUNDLES_BUNDLE_CONTENT_H_
