// Looks up a parameter in the query of a request target.
#include "modules/http/query_value.h"

#include <algorithm>

namespace papayakeel {

std::string QueryValue(std::string_view target, std::string_view key) {
  const std::size_t query = target.find('?');
  if (query == std::string_view::npos)
    return {};
  std::string_view rest = target.substr(query + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == key)
      return std::string(pair.substr(equals + 1));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

}  // namespace papayakeel
