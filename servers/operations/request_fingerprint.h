// Hash that detects the reuse of an operation key for a different request.
#ifndef SERVERS_OPERATIONS_REQUEST_FINGERPRINT_H_
#define SERVERS_OPERATIONS_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

namespace papayakeel {

// 128-bit xxHash of service, method, target and body. It is not resistant to
// deliberate collisions: a caller that creates one affects only its own
// requests with its own key.
struct request_fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  static request_fingerprint Of(std::string_view service,
                                std::string_view method,
                                std::string_view target,
                                std::string_view body);

  friend bool operator==(const request_fingerprint& left,
                         const request_fingerprint& right) {
    return left.high == right.high && left.low == right.low;
  }
  friend bool operator!=(const request_fingerprint& left,
                         const request_fingerprint& right) {
    return !(left == right);
  }
};

}  // namespace papayakeel

#endif  // SERVERS_OPERATIONS_REQUEST_FINGERPRINT_H_
