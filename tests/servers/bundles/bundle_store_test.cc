// Tests of the total order of bundles and of the reasons for rejecting bundles.
//
// Headers that use placement new are included first because CppUTest defines
// new as a macro.
#include <rapidcheck.h>
#include <nlohmann/json.hpp>

#include "servers/bundles/bundle_store.h"

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <sodium.h>

#include "tests/servers/bundles/bundle_samples.h"

namespace papayakeel {

using samples::MakeBundle;
using samples::MakeSecret;
using samples::MakeTrust;
using samples::Publish;

namespace {

// Offers a bundle to `store` and returns the name of the error code, or
// "accepted".
std::string CodeOf(bundle_store& store, std::string_view published) {
  const tl::expected<bool, bundle_error> offered = store.Offer(published);
  return offered ? "accepted" : ToString(offered.error().code);
}

// Returns the position of the bundle in force in the total order.
std::pair<std::uint64_t, bundle_hash> OrderOf(const bundle_store& store) {
  return {store.current() ? store.current()->version : 0, store.content_hash()};
}

// Returns bundles with 5 different versions and 4 different contents. The small
// numbers make equal versions and repeated bundles frequent.
std::vector<std::string> MakeOffers(
    const std::vector<std::pair<std::uint8_t, std::uint8_t>>& numbers) {
  std::vector<std::string> offers;
  offers.reserve(numbers.size());
  for (const auto& [version, content] : numbers) {
    offers.push_back(Publish(MakeBundle(1 + version % 5, 100 + content % 4),
                             content % 2 == 0 ? "anna" : "bertil",
                             content % 2 == 0 ? 1 : 2));
  }
  return offers;
}

using offer_numbers = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

}  // namespace

TEST_GROUP(bundle_store){};

// Guards against a validly signed bundle that is not put into force, and
// against a repeated offer that is reported as a change.
TEST(bundle_store, AcceptsOnce) {
  bundle_store store(MakeTrust());
  POINTERS_EQUAL(nullptr, store.current().get());
  const std::string published = Publish(MakeBundle(3));
  CHECK(*store.Offer(published));
  CHECK_FALSE(*store.Offer(published));
  LONGS_EQUAL(3, store.current()->version);
  STRCMP_EQUAL("anna", store.key_id().c_str());
  CHECK(store.published() == published);
  CHECK(store.refusals().empty());
}

// Guards against counting a conflict when two operators sign the same content.
TEST(bundle_store, SameContentFromAnotherKeyIsNoConflict) {
  bundle_store store(MakeTrust());
  CHECK(*store.Offer(Publish(MakeBundle(3))));
  CHECK_FALSE(*store.Offer(Publish(MakeBundle(3), "bertil", 2)));
  LONGS_EQUAL(0, store.conflicts());
}

// Guards against accepting an invalid bundle or rejecting it with the wrong
// error code.
TEST(bundle_store, RejectsWithErrorCodes) {
  bundle_trust trust = MakeTrust();
  trust.minimum_version = 4;
  bundle_store store(trust);
  CHECK(*store.Offer(Publish(MakeBundle(5))));
  const std::string before = store.published();

  STRCMP_EQUAL("unsigned", CodeOf(store, samples::kFullBundle).c_str());
  nlohmann::json envelope = nlohmann::json::from_cbor(Publish(MakeBundle(6)));
  envelope.erase("signature");
  const std::vector<std::uint8_t> stripped = nlohmann::json::to_cbor(envelope);
  STRCMP_EQUAL(
      "unsigned",
      CodeOf(store, std::string(stripped.begin(), stripped.end())).c_str());
  STRCMP_EQUAL("unknown_signer",
               CodeOf(store, Publish(MakeBundle(6), "cecilia", 3)).c_str());
  STRCMP_EQUAL("bad_signature",
               CodeOf(store, Publish(MakeBundle(6), "anna", 2)).c_str());
  STRCMP_EQUAL("oversized",
               CodeOf(store, std::string(kMaxEnvelopeBytes + 1, 'x')).c_str());
  bundle other = MakeBundle(6);
  other.deployment = "hsinyuan";
  STRCMP_EQUAL("other_deployment", CodeOf(store, Publish(other)).c_str());
  STRCMP_EQUAL("below_minimum", CodeOf(store, Publish(MakeBundle(3))).c_str());
  STRCMP_EQUAL("older_version", CodeOf(store, Publish(MakeBundle(4))).c_str());
  const std::string whole = Publish(MakeBundle(6));
  STRCMP_EQUAL("syntax", CodeOf(store, whole.substr(0, 200)).c_str());
  STRCMP_EQUAL("syntax", CodeOf(store, "").c_str());
  STRCMP_EQUAL("syntax", CodeOf(store, whole + "x").c_str());
  bundle invalid = MakeBundle(6);
  invalid.services.front().homes = 0;
  STRCMP_EQUAL("bad_value", CodeOf(store, Publish(invalid)).c_str());

  CHECK(store.published() == before);
  LONGS_EQUAL(2, store.refusals().at(bundle_error_code::kUnsigned));
  LONGS_EQUAL(3, store.refusals().at(bundle_error_code::kSyntax));
  LONGS_EQUAL(1, store.refusals().at(bundle_error_code::kOversized));
}

// Guards against accepting an envelope whose version or deployment differs from
// the content. Ordering and trust checks use the values in the envelope, but
// the content is put into force.
TEST(bundle_store, RefusesAContentOfAnotherVersion) {
  bundle_envelope envelope = *SignBundle(MakeBundle(9), "anna", MakeSecret(1));
  const std::string content = MakeBundleContent(MakeBundle(2));
  // Signs version 9 over the content of version 2.
  nlohmann::json part = {
      {"format", 1},
      {"deployment", "norrsken"},
      {"version", 9},
      {"key_id", "anna"},
      {"content", nlohmann::json::binary(std::vector<std::uint8_t>(
                      content.begin(), content.end()))}};
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(part);
  const std::string message =
      "papayakeel bundle 1\n" + std::string(bytes.begin(), bytes.end());
  envelope.content = content;
  std::array<unsigned char, crypto_sign_SECRETKEYBYTES> secret{};
  bundle_public_key key{};
  crypto_sign_seed_keypair(key.data(), secret.data(), MakeSecret(1).data());
  crypto_sign_detached(envelope.signature.data(), nullptr,
                       reinterpret_cast<const unsigned char*>(message.data()),
                       message.size(), secret.data());
  CHECK(envelope.IsSignedBy(key));
  bundle_store store(MakeTrust());
  STRCMP_EQUAL("bad_value", CodeOf(store, envelope.Encode()).c_str());
  POINTERS_EQUAL(nullptr, store.current().get());
}

// Guards against accepting a bundle signed with a revoked key, and against
// rejecting the same bundle when it is signed again with a trusted key.
TEST(bundle_store, RejectsRevokedKey) {
  bundle_trust trust = MakeTrust();
  trust.keys.erase("anna");
  bundle_store store(trust);
  STRCMP_EQUAL("unknown_signer", CodeOf(store, Publish(MakeBundle(1))).c_str());
  CHECK(*store.Offer(Publish(MakeBundle(1), "bertil", 2)));
}

// Guards against an unreported conflict between two bundles with equal versions
// and different content, in both orders of arrival.
TEST(bundle_store, CountsConflicts) {
  const std::string first = Publish(MakeBundle(3, 1));
  const std::string second = Publish(MakeBundle(3, 2), "bertil", 2);
  bundle_store forward(MakeTrust());
  bundle_store backward(MakeTrust());
  forward.Offer(first);
  forward.Offer(second);
  backward.Offer(second);
  backward.Offer(first);
  LONGS_EQUAL(1, forward.conflicts());
  LONGS_EQUAL(1, backward.conflicts());
  CHECK(forward.published() == backward.published());
  STRCMP_EQUAL(forward.last_conflict()->content_hash.c_str(),
               backward.last_conflict()->content_hash.c_str());
  STRCMP_EQUAL(forward.last_conflict()->key_id.c_str(),
               backward.last_conflict()->key_id.c_str());
}

// Guards against replacing the bundle in force by one that is earlier in the
// total order.
TEST(bundle_store, NeverReplacesALaterBundle) {
  CHECK(rc::check("never moves down", [](const offer_numbers& numbers) {
    bundle_store store(MakeTrust());
    for (const std::string& offer : MakeOffers(numbers)) {
      const std::pair<std::uint64_t, bundle_hash> before = OrderOf(store);
      const tl::expected<bool, bundle_error> offered = store.Offer(offer);
      const std::pair<std::uint64_t, bundle_hash> after = OrderOf(store);
      RC_ASSERT(after >= before);
      RC_ASSERT((offered && *offered) == (after != before));
    }
  }));
}

// Guards against entry VMs that keep different bundles in force because they
// received the same bundles in different orders.
TEST(bundle_store, OrderOfArrivalDoesNotMatter) {
  CHECK(rc::check("any order of arrival", [](const offer_numbers& numbers) {
    std::vector<std::string> offers = MakeOffers(numbers);
    bundle_store first(MakeTrust());
    for (const std::string& offer : offers)
      first.Offer(offer);
    const std::uint32_t seed = *rc::gen::arbitrary<std::uint32_t>();
    std::minstd_rand generator(seed);
    std::shuffle(offers.begin(), offers.end(), generator);
    bundle_store second(MakeTrust());
    for (const std::string& offer : offers)
      second.Offer(offer);
    RC_ASSERT(OrderOf(first) == OrderOf(second));
  }));
}

// Guards against accepting an altered envelope. Each byte in turn is altered by
// flipping one of three bits or all bits.
TEST(bundle_store, RefusesEveryFlippedByte) {
  const std::string whole = Publish(MakeBundle(3));
  bundle_store store(MakeTrust());
  for (std::size_t at = 0; at < whole.size(); ++at) {
    for (const unsigned char mask : {0x01, 0x20, 0x80, 0xff}) {
      std::string altered = whole;
      altered[at] =
          static_cast<char>(static_cast<unsigned char>(altered[at]) ^ mask);
      CHECK_FALSE(store.Offer(altered).has_value());
    }
  }
  POINTERS_EQUAL(nullptr, store.current().get());
}

// Guards against accepting a truncated envelope.
TEST(bundle_store, RefusesEveryPrefix) {
  const std::string whole = Publish(MakeBundle(3));
  bundle_store store(MakeTrust());
  for (std::size_t size = 0; size < whole.size(); ++size)
    STRCMP_EQUAL("syntax", CodeOf(store, whole.substr(0, size)).c_str());
}

// Guards against a stack overflow in the recursive CBOR decoder on deeply
// nested input.
TEST(bundle_store, RefusesDeepNesting) {
  bundle_store store(MakeTrust());
  for (const char* opening : {"\x81", "\x9f", "\xa1\x61k", "\xbf\x61k"}) {
    std::string deep;
    while (deep.size() + 4 < kMaxEnvelopeBytes)
      deep += opening;
    STRCMP_EQUAL("syntax", CodeOf(store, deep).c_str());
  }
}

}  // namespace papayakeel
