// Parses the TOML bundle file that operators write and reports all problems
// together.
#ifndef SERVERS_BUNDLES_BUNDLE_PARSER_H_
#define SERVERS_BUNDLES_BUNDLE_PARSER_H_

#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "servers/bundles/bundle.h"
#include "servers/bundles/bundle_error.h"

namespace papayakeel {

// Returns the validated bundle, or all problems sorted by line. Text that is
// not valid TOML yields a single kSyntax problem.
tl::expected<bundle, std::vector<bundle_error>> ParseBundle(
    std::string_view toml_text);

}  // namespace papayakeel

#endif  // SERVERS_BUNDLES_BUNDLE_PARSER_H_
