// Bundle files, in TOML or in the signed form.
#ifndef MAIN_CLIENT_BUNDLE_FILE_H_
#define MAIN_CLIENT_BUNDLE_FILE_H_

#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include "main/client/client_output.h"
#include "servers/bundles/bundle.h"
#include "servers/bundles/bundle_error.h"

namespace papayakeel {

// Parses a bundle in TOML or in the signed form, without verifying the
// signature.
tl::expected<bundle, std::vector<bundle_error>> ReadAnyBundle(
    std::string_view content);

// Prints "FILE:LINE: code: key: detail" for each problem to the error stream.
void PrintProblems(const std::string& path,
                   const std::vector<bundle_error>& errors,
                   const client_output& output);

nlohmann::json ProblemsToJson(const std::vector<bundle_error>& errors);

// Returns a summary of a bundle: deployment, version, content hash, and the
// numbers of services and classes.
nlohmann::json DescribeBundle(const bundle& checked);

// Prints a JSON object as a two-column table of dotted keys and values.
void PrintMembers(const nlohmann::json& object, const client_output& output);

}  // namespace papayakeel

#endif  // MAIN_CLIENT_BUNDLE_FILE_H_
