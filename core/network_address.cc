// Parsing and formatting of addresses as "host:port".
#include "core/network_address.h"

#include <charconv>

namespace papayakeel {

std::string network_address::ToString() const {
  const bool is_ipv6 = host.find(':') != std::string::npos;
  const std::string host_text = is_ipv6 ? "[" + host + "]" : host;
  return host_text + ":" + std::to_string(port);
}

tl::expected<network_address, address_error_code> network_address::Parse(
    std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return tl::unexpected(address_error_code::kMissingPort);
  std::string_view host = text.substr(0, colon);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  if (host.empty())
    return tl::unexpected(address_error_code::kEmptyHost);
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const std::from_chars_result parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool consumed_all = parsed.ptr == digits.data() + digits.size();
  if (digits.empty() || parsed.ec != std::errc() || !consumed_all || port == 0)
    return tl::unexpected(address_error_code::kBadPort);
  return network_address{std::string(host), port};
}

}  // namespace papayakeel
