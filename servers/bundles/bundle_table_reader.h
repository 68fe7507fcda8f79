// Converts a TOML table to a bundle and validates it. Operators' TOML files and
// the content of signed bundles both use this reader and obey the same rules.
#ifndef SERVERS_BUNDLES_BUNDLE_TABLE_READER_H_
#define SERVERS_BUNDLES_BUNDLE_TABLE_READER_H_

#include <vector>

#include <toml++/toml.h>
#include <tl/expected.hpp>

#include "servers/bundles/bundle.h"
#include "servers/bundles/bundle_error.h"
#include "servers/settings/toml_problem.h"

namespace papayakeel {

tl::expected<bundle, std::vector<bundle_error>> ReadBundleTable(
    const toml::table& table);

bundle_error ToBundleError(const toml_problem& problem);

}  // namespace papayakeel

#endif  // SERVERS_BUNDLES_BUNDLE_TABLE_READER_H_
