// Bookkeeping of bundle requests.
#include "servers/membership/bundle_exchange.h"

#include <algorithm>
#include <iterator>

namespace papayakeel {

namespace {

// Time for a bundle of 1 MB to arrive; then another peer is asked.
constexpr std::chrono::seconds kRequestTimeout{2};
constexpr std::chrono::seconds kRefusedWait{30};
constexpr std::size_t kMaxRefused = 64;

}  // namespace

bool bundle_exchange::OnPeerPair(const bundle_pair& offered,
                                 const bundle_pair& own,
                                 monotonic_time now) {
  const bool has_own = own != bundle_pair{};
  if (has_own && offered == own)
    last_confirmation_ = now;
  if (offered <= own)
    return false;
  if (!IsRefused(offered, now))
    newest_offered_ = std::max(newest_offered_, offered);
  const bool is_asked = request_ && request_->asked >= offered &&
                        now - request_->sent_at < kRequestTimeout;
  if (is_asked || IsRefused(offered, now))
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
  if (refused_.size() < kMaxRefused)
    refused_[refused] = now + kRefusedWait;
  // Another bundle that is newer than the own one is announced again.
  if (newest_offered_ == refused)
    newest_offered_ = {};
}

bool bundle_exchange::KnowsNewer(const bundle_pair& own,
                                 monotonic_time now) const {
  return newest_offered_ > own && !IsRefused(newest_offered_, now);
}

bool bundle_exchange::IsRefused(const bundle_pair& offered,
                                monotonic_time now) const {
  const auto refused = refused_.find(offered);
  return refused != refused_.end() && now < refused->second;
}

}  // namespace papayakeel
