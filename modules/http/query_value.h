// Lookup of query parameters in a request target.
#ifndef MODULES_HTTP_QUERY_VALUE_H_
#define MODULES_HTTP_QUERY_VALUE_H_

#include <string>
#include <string_view>

namespace papayakeel {

// Returns the value of the first parameter named `key` in `target` without
// percent-decoding, or an empty string if there is none.
std::string QueryValue(std::string_view target, std::string_view key);

}  // namespace papayakeel

#endif  // MODULES_HTTP_QUERY_VALUE_H_
