// Tests of bundle requests to peers.
#include "servers/membership/bundle_exchange.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::seconds;

constexpr monotonic_time At(int second) {
  return monotonic_time(seconds(second));
}

}  // namespace

TEST_GROUP(bundle_exchange){};

// Guards against requesting the same bundle from several peers at once, and
// against never requesting it again after a reply was lost.
TEST(bundle_exchange, AsksOnePeerAtATime) {
  bundle_exchange exchange;
  CHECK(exchange.OnPeerBundlePair({2, 1}, {1, 1}, At(0)));
  CHECK_FALSE(exchange.OnPeerBundlePair({2, 1}, {1, 1}, At(1)));
  // A newer bundle is requested while the request for the older one is pending.
  CHECK(exchange.OnPeerBundlePair({2, 2}, {1, 1}, At(1)));
  CHECK(exchange.OnPeerBundlePair({2, 2}, {1, 1}, At(3)));
  exchange.OnBundle();
  CHECK(exchange.OnPeerBundlePair({3, 0}, {2, 2}, At(3)));
}

// Guards against requesting an older bundle, and against treating a peer with
// another bundle or without a bundle as a confirmation.
TEST(bundle_exchange, OnlyTheSamePairConfirms) {
  bundle_exchange exchange;
  CHECK_FALSE(exchange.OnPeerBundlePair({0, 0}, {0, 0}, At(0)));
  CHECK_FALSE(exchange.OnPeerBundlePair({1, 9}, {2, 1}, At(1)));
  CHECK_FALSE(exchange.OnPeerBundlePair({2, 0}, {2, 1}, At(2)));
  CHECK(exchange.OnPeerBundlePair({2, 2}, {2, 1}, At(3)));
  CHECK_FALSE(exchange.last_confirmation().has_value());
  CHECK_FALSE(exchange.OnPeerBundlePair({2, 1}, {2, 1}, At(4)));
  CHECK(exchange.last_confirmation() == At(4));
}

// Guards against losing track of a newer bundle between its announcement and
// its arrival, and against waiting for a bundle that was refused.
TEST(bundle_exchange, KnowsOfANewerBundleUntilItIsInForceOrRefused) {
  bundle_exchange exchange;
  CHECK_FALSE(exchange.HasNewerOffer({1, 1}, At(0)));
  exchange.OnPeerBundlePair({2, 1}, {1, 1}, At(0));
  exchange.OnPeerBundlePair({1, 1}, {1, 1}, At(0));
  CHECK(exchange.HasNewerOffer({1, 1}, At(0)));
  CHECK_FALSE(exchange.HasNewerOffer({2, 1}, At(0)));
  exchange.OnRefused({2, 1}, At(1));
  CHECK_FALSE(exchange.HasNewerOffer({1, 1}, At(1)));
  exchange.OnPeerBundlePair({2, 1}, {1, 1}, At(2));
  CHECK_FALSE(exchange.HasNewerOffer({1, 1}, At(2)));
}

// Guards against requesting a refused bundle again on every message.
// Requests for it resume after a backoff of 30 s.
TEST(bundle_exchange, RefusedPairIsNotRequestedDuringBackoff) {
  bundle_exchange exchange;
  CHECK(exchange.OnPeerBundlePair({2, 1}, {1, 1}, At(0)));
  exchange.OnBundle();
  exchange.OnRefused({2, 1}, At(0));
  CHECK_FALSE(exchange.OnPeerBundlePair({2, 1}, {1, 1}, At(29)));
  CHECK(exchange.OnPeerBundlePair({2, 2}, {1, 1}, At(29)));
  exchange.OnBundle();
  CHECK(exchange.OnPeerBundlePair({2, 1}, {1, 1}, At(30)));
}

}  // namespace papayakeel
