// Route lookup by host and longest path prefix.
#include "servers/routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace papayakeel {

namespace {

// Returns `host` in lower case without its port.
std::string NormalizeHost(std::string_view host) {
  const std::size_t colon = host.find(':');
  std::string normalized(host.substr(0, colon));
  std::transform(
      normalized.begin(), normalized.end(), normalized.begin(),
      [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
  return normalized;
}

}  // namespace

route_table::route_table(desired_state_pointer state)
    : state_(std::move(state)) {
  for (const route& each : state_->routes)
    hosts_[NormalizeHost(each.host)][each.prefix] = &each;
}

const route* route_table::Find(std::string_view host,
                               std::string_view target) const {
  const auto found = hosts_.find(NormalizeHost(host));
  if (found == hosts_.end())
    return nullptr;
  const std::string_view path = target.substr(0, target.find_first_of("?#"));
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto match =
        found->second.find(std::string(path.substr(0, slash + 1)));
    if (match != found->second.end())
      return match->second;
    if (slash == 0)
      break;
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

}  // namespace papayakeel
