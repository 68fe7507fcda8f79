// Idempotency key of an at-most-once request, sent by callers in the header
// `Idempotency-Key`.
#ifndef SERVERS_OPERATIONS_OPERATION_KEY_H_
#define SERVERS_OPERATIONS_OPERATION_KEY_H_

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "servers/operations/epoch.h"

namespace papayakeel {

enum class operation_key_error {
  kEmpty,          // The header is present but empty.
  kBadQuotes,      // A missing closing quote, or an inner quote or backslash.
  kMissingEpoch,   // No full stop after the first 32 characters.
  kBadEpoch,       // The epoch is not 32 hexadecimal digits.
  kEmptySuffix,    // No text after the full stop.
  kSuffixTooLong,  // The suffix has more than 128 characters.
  kBadCharacter,   // The suffix contains other than visible ASCII.
};

// Returns the name of `error` for headers, logs and metrics.
const char* ToString(operation_key_error error);

struct operation_key {
  static constexpr std::size_t kMaxSuffixLength = 128;

  epoch owner;         // Epoch of the process that may run the operation.
  std::string suffix;  // 1 to 128 visible ASCII characters.

  // Returns "EPOCH.SUFFIX".
  std::string ToString() const;

  // Parses "EPOCH.SUFFIX", either bare or in double quotes (the RFC 8941 string
  // form used by the IETF draft). Both forms yield the same key.
  static tl::expected<operation_key, operation_key_error> Parse(
      std::string_view text);
};

}  // namespace papayakeel

#endif  // SERVERS_OPERATIONS_OPERATION_KEY_H_
