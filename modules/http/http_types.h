// Aliases for the HTTP types used across modules.
#ifndef MODULES_HTTP_HTTP_TYPES_H_
#define MODULES_HTTP_HTTP_TYPES_H_

#include <string_view>

#include <boost/beast/http.hpp>

namespace papayakeel {

namespace http = boost::beast::http;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

// Converts Beast's string view type to the standard one.
inline std::string_view ToStringView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace papayakeel

#endif  // MODULES_HTTP_HTTP_TYPES_H_
