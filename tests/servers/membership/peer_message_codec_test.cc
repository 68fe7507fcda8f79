// Tests of the CBOR encoding of peer messages.
#include "servers/membership/peer_message_codec.h"

#include <rapidcheck.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

// Must be the last include, because it redefines `new`.
#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using nlohmann::json;

member MakeRecord() {
  member record;
  record.peer_address = {"10.0.0.2", 7000};
  record.caller_address = {"10.0.0.2", 8000};
  record.availability_zone = "hsinchu";
  record.incarnation = 0x1122334455667788;
  record.counter = 3;
  record.state = member_state::kLeaving;
  record.epoch = "00112233445566778899aabbccddeeff";
  record.bundle_version = 12;
  record.bundle_hash = UINT64_MAX;
  return record;
}

peer_message MakeMessage(peer_message_type type) {
  peer_message message;
  message.type = type;
  message.sender = MakeRecord();
  message.number = 9;
  message.digest = 10;
  message.updates = {MakeRecord(), MakeRecord()};
  message.target = {"10.0.0.3", 7000};
  message.published = std::string(100, '\0');
  message.finding = {"specbook",
                     {"10.1.0.1", 80},
                     finding_kind::kEjected,
                     std::chrono::milliseconds(250)};
  message.hello_step = 2;
  message.challenge = std::string(kChallengeBytes, 'c');
  message.response = std::string(kChallengeBytes, 'r');
  return message;
}

std::string ToBytes(const json& map) {
  std::string bytes;
  json::to_cbor(map, bytes);
  return bytes;
}

peer_message_error ErrorOf(const std::string& bytes) {
  const tl::expected<peer_message, peer_message_error> decoded =
      DecodePeerMessage(bytes);
  CHECK_FALSE(decoded.has_value());
  return decoded ? peer_message_error::kMalformed : decoded.error();
}

}  // namespace

TEST_GROUP(peer_message_codec){};

// Guards against fields that are lost in encoding or decoding.
TEST(peer_message_codec, EveryTypeSurvivesTheRoundTrip) {
  for (int number = 0; number <= static_cast<int>(peer_message_type::kFinding);
       ++number) {
    const peer_message_type type = static_cast<peer_message_type>(number);
    const peer_message sent = MakeMessage(type);
    const std::string bytes = EncodePeerMessage(sent).value();
    const peer_message read = DecodePeerMessage(bytes).value();
    CHECK(read.type == type);
    CHECK(read.sender.peer_address == sent.sender.peer_address);
    // Equal bytes after encoding again show that every field was preserved.
    CHECK(EncodePeerMessage(read).value() == bytes);
  }
  const peer_message ping =
      DecodePeerMessage(
          EncodePeerMessage(MakeMessage(peer_message_type::kPing)).value())
          .value();
  CHECK_EQUAL(9U, ping.number);
  CHECK_EQUAL(10U, ping.digest);
  CHECK_EQUAL(2U, ping.updates.size());
  CHECK(ping.updates[1].state == member_state::kLeaving);
  CHECK(ping.updates[1].epoch == MakeRecord().epoch);
  CHECK_EQUAL(UINT64_MAX, ping.updates[1].bundle_hash);
}

// Guards against decoding a later version or an unknown type as a known one.
TEST(peer_message_codec, RefusesUnknownVersionAndType) {
  json map = json::from_cbor(
      EncodePeerMessage(MakeMessage(peer_message_type::kAck)).value());
  map["v"] = 2;
  CHECK(ErrorOf(ToBytes(map)) == peer_message_error::kUnknownVersion);
  map["v"] = 1;
  map["t"] = "vote";
  CHECK(ErrorOf(ToBytes(map)) == peer_message_error::kUnknownType);
  map.erase("t");
  CHECK(ErrorOf(ToBytes(map)) == peer_message_error::kMissingField);
}

// Guards against input that lets an attacker control memory or stack use.
TEST(peer_message_codec, RefusesOversizedOrDeeplyNestedInput) {
  CHECK(ErrorOf(std::string(kMaxBundleMessageBytes + 1, '\0')) ==
        peer_message_error::kOversized);
  CHECK(ErrorOf(std::string(kMaxBundleMessageBytes, '\x81')) ==
        peer_message_error::kMalformed);
  // An array with a declared length of 2^62 elements.
  CHECK(ErrorOf(std::string("\x9b\x40\0\0\0\0\0\0\0", 9)) ==
        peer_message_error::kMalformed);
  json map = json::from_cbor(
      EncodePeerMessage(MakeMessage(peer_message_type::kAck)).value());
  map["x"] = json::binary(std::vector<std::uint8_t>(kMaxPeerMessageBytes));
  CHECK(ErrorOf(ToBytes(map)) == peer_message_error::kOversized);
  map.erase("x");
  map["u"] = json::array();
  for (std::size_t each = 0; each <= kMaxUpdatesPerMessage; ++each)
    map["u"].push_back({{"a", "10.0.0.1:1"}, {"i", each}});
  CHECK(ErrorOf(ToBytes(map)) == peer_message_error::kBadField);
  peer_message bundle = MakeMessage(peer_message_type::kBundle);
  bundle.published = std::string(kMaxPublishedBytes, 'x');
  CHECK(DecodePeerMessage(EncodePeerMessage(bundle).value()).has_value());
  bundle.published += 'x';
  CHECK(EncodePeerMessage(bundle).error() == peer_message_error::kOversized);
}

// Guards against accepting values that corrupt logs, JSON or the member table.
TEST(peer_message_codec, RefusesBadFields) {
  const json good = json::from_cbor(
      EncodePeerMessage(MakeMessage(peer_message_type::kPing)).value());
  const std::vector<std::pair<std::string, json>> changes = {
      {"z", "\xff\xfe"},
      {"z", "a\nb"},
      {"s", 4},
      {"i", -1},
      {"a", "10.0.0.1"},
      {"a", 7},
      {"e", std::string(200, 'e')},
      {"n", 1.5}};
  for (const auto& [key, value] : changes) {
    json map = good;
    map["s"][key] = value;
    CHECK_FALSE(DecodePeerMessage(ToBytes(map)).has_value());
  }
}

// Guards against exceptions or crashes on corrupted input.
TEST(peer_message_codec, CorruptedInputGivesAnErrorOrAValidMessage) {
  CHECK(rc::check([] {
    std::string bytes =
        EncodePeerMessage(MakeMessage(static_cast<peer_message_type>(
                              *rc::gen::inRange(0, 10))))
            .value();
    const int changes = *rc::gen::inRange(1, 4);
    for (int change = 0; change < changes; ++change) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
          static_cast<char>(*rc::gen::inRange(0, 256));
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    const tl::expected<peer_message, peer_message_error> decoded =
        DecodePeerMessage(bytes);
    if (decoded)
      RC_ASSERT(EncodePeerMessage(*decoded).has_value());
  }));
}

}  // namespace papayakeel
