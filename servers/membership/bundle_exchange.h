// When a bundle is asked for from a peer that announced it, and when a peer
// last confirmed the own one.
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

// Version and first 8 bytes of the content hash, in the order in which one
// bundle replaces another. {0, 0} stands for no bundle.
using bundle_pair = std::pair<std::uint64_t, std::uint64_t>;

class bundle_exchange {
 public:
  // Takes the pair that a peer says it has in force. Returns whether the peer
  // is to be asked for its bundle; the request counts as sent then.
  bool OnPeerPair(const bundle_pair& offered,
                  const bundle_pair& own,
                  monotonic_time now);

  // A bundle has arrived, so another one may be asked for.
  void OnBundle();

  // The bundle of this pair was refused; it is not asked for again for 30 s.
  void OnRefused(const bundle_pair& refused, monotonic_time now);

  // Whether a peer has announced a bundle that replaces `own` and that was not
  // refused.
  bool KnowsNewer(const bundle_pair& own, monotonic_time now) const;

  // When a peer last had the own bundle in force, if ever.
  std::optional<monotonic_time> last_confirmation() const {
    return last_confirmation_;
  }

 private:
  struct request {
    bundle_pair asked;
    monotonic_time sent_at;
  };

  bool IsRefused(const bundle_pair& offered, monotonic_time now) const;

  std::optional<request> request_;
  bundle_pair newest_offered_;  // Of those that were not refused.
  // Until when each refused bundle is not asked for; bounded.
  std::map<bundle_pair, monotonic_time> refused_;
  std::optional<monotonic_time> last_confirmation_;
};

}  // namespace papayakeel

#endif  // SERVERS_MEMBERSHIP_BUNDLE_EXCHANGE_H_
