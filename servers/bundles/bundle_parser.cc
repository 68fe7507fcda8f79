// Parsing of bundles from TOML.
#include "servers/bundles/bundle_parser.h"

#include "servers/bundles/bundle_table_reader.h"
#include "servers/settings/toml_reader.h"

namespace papayakeel {

tl::expected<bundle, std::vector<bundle_error>> ParseBundle(
    std::string_view toml_text) {
  const tl::expected<toml::table, toml_problem> table = ParseToml(toml_text);
  if (!table) {
    return tl::unexpected(
        std::vector<bundle_error>{ToBundleError(table.error())});
  }
  return ReadBundleTable(*table);
}

}  // namespace papayakeel
