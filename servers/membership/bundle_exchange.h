// Tracks bundle requests to peers that announced a newer bundle, and the last
// time at which a peer confirmed the local bundle.
#ifndef SERVERS_MEMBERSHIP_BUNDLE_EXCHANGE_H_
#define SERVERS_MEMBERSHIP_BUNDLE_EXCHANGE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "core/monotonic_time.h"

namespace papayakeel {

// Version and first 8 bytes of the content hash. A bundle with a greater pair
// replaces one with a smaller pair. {0, 0} means no bundle.
using bundle_pair = std::pair<std::uint64_t, std::uint64_t>;

class bundle_exchange {
 public:
  // Processes the pair of the bundle that a peer reports as in force. Returns
  // whether the caller must request the bundle from that peer. If so, the
  // request is recorded as sent.
  bool OnPeerBundlePair(const bundle_pair& offered,
                        const bundle_pair& own,
                        monotonic_time now);

  // Clears the pending request after a bundle has arrived.
  void OnBundle();

  // Records that the bundle with this pair was refused. It is not requested
  // again for 30 s.
  void OnRefused(const bundle_pair& refused, monotonic_time now);

  // Whether a peer has announced a bundle that is newer than `own` and that was
  // not refused within the last 30 s.
  bool HasNewerOffer(const bundle_pair& own, monotonic_time now) const;

  // Time at which a peer last reported the same bundle as the local one, or
  // nullopt if none has.
  std::optional<monotonic_time> last_confirmation() const {
    return last_confirmation_;
  }

 private:
  struct request {
    bundle_pair requested_pair;
    monotonic_time sent_at;
  };

  bool IsRefused(const bundle_pair& offered, monotonic_time now) const;

  std::optional<request> request_;
  bundle_pair newest_offered_;  // Excludes refused bundles.
  // End of the backoff of each refused bundle; bounded.
  std::map<bundle_pair, monotonic_time> refused_;
  std::optional<monotonic_time> last_confirmation_;
};

}  // namespace papayakeel

#endif  // SERVERS_MEMBERSHIP_BUNDLE_EXCHANGE_H_
