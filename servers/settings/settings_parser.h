// Parses process settings from TOML and reports all problems together.
#ifndef SERVERS_SETTINGS_SETTINGS_PARSER_H_
#define SERVERS_SETTINGS_SETTINGS_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "servers/settings/process_settings.h"
#include "servers/settings/settings_error.h"

namespace papayakeel {

// Returns the validated settings, or all problems sorted by line. Text that is
// not valid TOML yields a single kSyntax problem. `file` is used only in
// messages.
tl::expected<process_settings, std::vector<settings_error>> ParseSettings(
    std::string_view text,
    std::string_view file);

}  // namespace papayakeel

#endif  // SERVERS_SETTINGS_SETTINGS_PARSER_H_
