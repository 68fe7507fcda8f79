// Names of bundle error codes.
#include "servers/bundles/bundle_error.h"

namespace papayakeel {

const char* ToString(bundle_error_code code) {
  switch (code) {
    case bundle_error_code::kSyntax:
      return "syntax";
    case bundle_error_code::kUnknownKey:
      return "unknown_key";
    case bundle_error_code::kMissingKey:
      return "missing_key";
    case bundle_error_code::kBadType:
      return "bad_type";
    case bundle_error_code::kBadValue:
      return "bad_value";
    case bundle_error_code::kDuplicate:
      return "duplicate";
    case bundle_error_code::kContradiction:
      return "contradiction";
    case bundle_error_code::kUnsigned:
      return "unsigned";
    case bundle_error_code::kUnknownSigner:
      return "unknown_signer";
    case bundle_error_code::kBadSignature:
      return "bad_signature";
    case bundle_error_code::kOversized:
      return "oversized";
    case bundle_error_code::kOtherDeployment:
      return "other_deployment";
    case bundle_error_code::kOlderVersion:
      return "older_version";
    case bundle_error_code::kBelowMinimum:
      return "below_minimum";
  }
  return "unknown";
}

}  // namespace papayakeel
