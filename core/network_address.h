// IP address and port of an entry VM or an endpoint.
#ifndef CORE_NETWORK_ADDRESS_H_
#define CORE_NETWORK_ADDRESS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace papayakeel {

enum class address_error_code {
  kMissingPort,
  kBadPort,
  kEmptyHost,
};

struct network_address {
  std::string host;  // IPv4 in dotted-decimal form, or IPv6 without brackets.
  std::uint16_t port = 0;

  // Returns "host:port", with an IPv6 host in brackets.
  std::string ToString() const;

  // Parses the format of `ToString`. Port 0 is an error.
  static tl::expected<network_address, address_error_code> Parse(
      std::string_view text);

  friend bool operator==(const network_address& left,
                         const network_address& right) {
    return left.port == right.port && left.host == right.host;
  }
  friend bool operator!=(const network_address& left,
                         const network_address& right) {
    return !(left == right);
  }
  friend bool operator<(const network_address& left,
                        const network_address& right) {
    return left.host != right.host ? left.host < right.host
                                   : left.port < right.port;
  }
};

}  // namespace papayakeel

template <>
struct std::hash<papayakeel::network_address> {
  std::size_t operator()(
      const papayakeel::network_address& address) const noexcept {
    return std::hash<std::string>()(address.host) * 31 + address.port;
  }
};

#endif  // CORE_NETWORK_ADDRESS_H_
