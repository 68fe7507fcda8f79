// Decides when to request a bundle from a peer.
#include "servers/membership/bundle_exchange.h"

#include <algorithm>
#include <iterator>

namespace papayakeel {

namespace {

// Long enough to transfer a bundle of 1 MB. After this time the bundle may be
// requested from another peer.
constexpr std::chrono::seconds kBundleRequestTimeout{2};
constexpr std::chrono::seconds kRefusedBundleBackoff{30};
constexpr std::size_t kMaxRefusedBundles = 64;

}  // namespace

bool bundle_exchange::OnPeerBundlePair(const bundle_pair& offered,
                                       const bundle_pair& own,
                                       monotonic_time now) {
  const bool has_own = own != bundle_pair{};
  if (has_own && offered == own)
    last_confirmation_ = now;
  if (offered <= own)
    return false;
  if (!IsRefused(offered, now))
    newest_offered_ = std::max(newest_offered_, offered);
  const bool is_request_pending =
      request_ && request_->requested_pair >= offered &&
      now - request_->sent_at < kBundleRequestTimeout;
  if (is_request_pending || IsRefused(offered, now))
    return false;
  request_ = request{offered, now};
  return true;
}

void bundle_exchange::OnBundle() {
  request_.reset();
}

void bundle_exchange::OnRefused(const bundle_pair& refused,
                                monotonic_time now) {
  for (auto each = refused_.begin(); each != refused_.end();)
    each = each->second <= now ? refused_.erase(each) : std::next(each);
  if (refused_.size() < kMaxRefusedBundles)
    refused_[refused] = now + kRefusedBundleBackoff;
  // Peers repeat their announcements, so any other newer bundle is recorded
  // when its next announcement arrives.
  if (newest_offered_ == refused)
    newest_offered_ = {};
}

bool bundle_exchange::HasNewerOffer(const bundle_pair& own,
                                    monotonic_time now) const {
  return newest_offered_ > own && !IsRefused(newest_offered_, now);
}

bool bundle_exchange::IsRefused(const bundle_pair& offered,
                                monotonic_time now) const {
  const auto refused = refused_.find(offered);
  return refused != refused_.end() && now < refused->second;
}

}  // namespace papayakeel
