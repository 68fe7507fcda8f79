// Tests of when a bundle is asked for.
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

// Guards against a bundle that several peers send at once, and against one
// that is never asked for again after an answer was lost.
TEST(bundle_exchange, AsksOnePeerAtATime) {
  bundle_exchange exchange;
  CHECK(exchange.OnPeerPair({2, 1}, {1, 1}, At(0)));
  CHECK_FALSE(exchange.OnPeerPair({2, 1}, {1, 1}, At(1)));
  // A newer one does not wait for the older one.
  CHECK(exchange.OnPeerPair({2, 2}, {1, 1}, At(1)));
  CHECK(exchange.OnPeerPair({2, 2}, {1, 1}, At(3)));
  exchange.OnBundle();
  CHECK(exchange.OnPeerPair({3, 0}, {2, 2}, At(3)));
}

// Guards against an older bundle that is fetched and against a confirmation by
// a peer with another bundle, or without any.
TEST(bundle_exchange, OnlyTheSamePairConfirms) {
  bundle_exchange exchange;
  CHECK_FALSE(exchange.OnPeerPair({0, 0}, {0, 0}, At(0)));
  CHECK_FALSE(exchange.OnPeerPair({1, 9}, {2, 1}, At(1)));
  CHECK_FALSE(exchange.OnPeerPair({2, 0}, {2, 1}, At(2)));
  CHECK(exchange.OnPeerPair({2, 2}, {2, 1}, At(3)));
  CHECK_FALSE(exchange.last_confirmation().has_value());
  CHECK_FALSE(exchange.OnPeerPair({2, 1}, {2, 1}, At(4)));
  CHECK(exchange.last_confirmation() == At(4));
}

// Guards against a newer bundle that is forgotten between its announcement and
// its arrival, and against a refused one that is waited for.
TEST(bundle_exchange, KnowsOfANewerBundleUntilItIsInForceOrRefused) {
  bundle_exchange exchange;
  CHECK_FALSE(exchange.KnowsNewer({1, 1}, At(0)));
  exchange.OnPeerPair({2, 1}, {1, 1}, At(0));
  exchange.OnPeerPair({1, 1}, {1, 1}, At(0));
  CHECK(exchange.KnowsNewer({1, 1}, At(0)));
  CHECK_FALSE(exchange.KnowsNewer({2, 1}, At(0)));
  exchange.OnRefused({2, 1}, At(1));
  CHECK_FALSE(exchange.KnowsNewer({1, 1}, At(1)));
  exchange.OnPeerPair({2, 1}, {1, 1}, At(2));
  CHECK_FALSE(exchange.KnowsNewer({1, 1}, At(2)));
}

// Guards against a refused bundle that is fetched with every message, and
// against memory that grows with refused ones.
TEST(bundle_exchange, RefusedPairWaits) {
  bundle_exchange exchange;
  CHECK(exchange.OnPeerPair({2, 1}, {1, 1}, At(0)));
  exchange.OnBundle();
  exchange.OnRefused({2, 1}, At(0));
  CHECK_FALSE(exchange.OnPeerPair({2, 1}, {1, 1}, At(29)));
  CHECK(exchange.OnPeerPair({2, 2}, {1, 1}, At(29)));
  exchange.OnBundle();
  CHECK(exchange.OnPeerPair({2, 1}, {1, 1}, At(30)));
}

}  // namespace papayakeel
