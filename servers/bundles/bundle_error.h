// Reasons for rejecting a bundle.
#ifndef SERVERS_BUNDLES_BUNDLE_ERROR_H_
#define SERVERS_BUNDLES_BUNDLE_ERROR_H_

#include <string>

namespace papayakeel {

enum class bundle_error_code {
  kSyntax,           // Not TOML, or not a signed bundle.
  kUnknownKey,       // A setting that does not exist.
  kMissingKey,       // A required setting is absent.
  kBadType,          // A setting has the wrong type.
  kBadValue,         // A setting is out of its range.
  kDuplicate,        // Duplicate service or class name, or list entry.
  kContradiction,    // Two settings contradict each other.
  kUnsigned,         // The signature is missing.
  kUnknownSigner,    // The signing key is not trusted.
  kBadSignature,     // The content does not match its signature.
  kOversized,        // Exceeds kMaxEnvelopeBytes.
  kOtherDeployment,  // Signed for another deployment.
  kOlderVersion,     // Ordered before the bundle in force.
  kBelowMinimum,     // Version is below bundle.minimum_version.
};

struct bundle_error {
  bundle_error_code code = bundle_error_code::kSyntax;
  int line = 0;        // 1-based line in the operators' file; 0 when unknown.
  std::string key;     // Dotted path of the affected setting.
  std::string detail;  // Readable text: what was found and what is allowed.
};

// Returns the name of `code` for logs, metrics and JSON.
const char* ToString(bundle_error_code code);

}  // namespace papayakeel

#endif  // SERVERS_BUNDLES_BUNDLE_ERROR_H_
