// Items as the store encodes them.
#include "tests/platform/store_items.h"

#include <boost/beast/core/detail/base64.hpp>

namespace papayakeel::platform {

std::string MakeEndpointItem(int index) {
  const std::string entry =
      R"({"address":"10.0.0.1:)" + std::to_string(8000 + index) +
      R"(","born":1,"info":{"service":"s","version":"v","zone":"z","slots":2},)"
      R"("status":{"state":"ready","seq":1,"warmup_left":"0ms"}})";
  std::string text(boost::beast::detail::base64::encoded_size(entry.size()),
                   '\0');
  text.resize(boost::beast::detail::base64::encode(text.data(), entry.data(),
                                                   entry.size()));
  return R"({"key":"servers/i-)" + std::to_string(index) + R"(","value":")" +
         text + R"(","revision":2})";
}

}  // namespace papayakeel::platform
