// Tests for the handshake between entry VMs and for sealed messages.
#include "modules/peer_link/peer_handshake.h"

#include <rapidcheck.h>

#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

#include "modules/peer_link/session_seal.h"

namespace papayakeel {

namespace {

const network_address kClientAddress{"10.0.0.1", 7000};
const network_address kServerAddress{"10.0.0.2", 7000};

session_key MakeKey(unsigned char fill) {
  session_key key;
  key.fill(fill);
  return key;
}

peer_handshake MakeClient(unsigned char key, char challenge = 'c') {
  return {peer_handshake::role::kClient, MakeKey(key), kClientAddress,
          std::string(32, challenge)};
}

peer_handshake MakeServer(unsigned char key, char challenge = 's') {
  return {peer_handshake::role::kServer, MakeKey(key), kServerAddress,
          std::string(32, challenge)};
}

// Returns the seals of the client and of the server for one connection.
std::pair<session_seal, session_seal> MakeSeals(char challenge = 's') {
  peer_handshake client = MakeClient(1);
  peer_handshake server = MakeServer(1, challenge);
  const peer_message second = *server.Handle(client.MakeInitialHello()).value();
  const peer_message third = *client.Handle(second).value();
  CHECK_FALSE(server.Handle(third).value().has_value());
  CHECK(client.is_complete() && server.is_complete());
  CHECK(client.peer_address() == kServerAddress);
  CHECK(server.peer_address() == kClientAddress);
  return {client.MakeSeal(), server.MakeSeal()};
}

}  // namespace

TEST_GROUP(peer_handshake){};

// Guards against accepting a server or a client that lacks the fleet key.
TEST(peer_handshake, WrongFleetKeyIsRefusedOnBothSides) {
  peer_handshake client = MakeClient(1);
  peer_handshake wrong_key_server = MakeServer(2);
  const peer_message second =
      *wrong_key_server.Handle(client.MakeInitialHello()).value();
  CHECK(client.Handle(second).error() == handshake_error::kBadResponse);
  CHECK_FALSE(client.is_complete());

  peer_handshake server = MakeServer(1);
  peer_handshake wrong_key_client = MakeClient(2);
  server.Handle(wrong_key_client.MakeInitialHello()).value();
  peer_message third;
  third.type = peer_message_type::kHello;
  third.sender.peer_address = kClientAddress;
  third.hello_step = 3;
  third.response = std::string(32, 'r');
  CHECK(server.Handle(third).error() == handshake_error::kBadResponse);
  CHECK_FALSE(server.is_complete());
}

// Guards against authenticating a peer that replays a response recorded on
// another connection or returns the server's own response.
TEST(peer_handshake, RecordedAndReflectedResponsesAreRefused) {
  peer_handshake client = MakeClient(1);
  peer_handshake server = MakeServer(1);
  const peer_message first = client.MakeInitialHello();
  const peer_message second = *server.Handle(first).value();
  const peer_message third = *client.Handle(second).value();
  peer_handshake later = MakeServer(1, 't');
  later.Handle(first).value();
  CHECK(later.Handle(third).error() == handshake_error::kBadResponse);
  peer_handshake reflected = MakeServer(1);
  reflected.Handle(first).value();
  peer_message echo = second;
  echo.hello_step = 3;
  echo.sender.peer_address = kClientAddress;
  CHECK(reflected.Handle(echo).error() == handshake_error::kBadResponse);
}

// Guards against accepting handshake steps out of order, and against a process
// that connects to its own address.
TEST(peer_handshake, OutOfOrderAndOwnAddressAreRefused) {
  peer_handshake client = MakeClient(1);
  CHECK(client.Handle(client.MakeInitialHello()).error() ==
        handshake_error::kUnexpected);
  peer_handshake server = MakeServer(1);
  peer_message own = client.MakeInitialHello();
  own.sender.peer_address = kServerAddress;
  CHECK(server.Handle(own).error() == handshake_error::kOwnAddress);
}

// Guards against accepting a message that was altered in transit: a single
// flipped bit anywhere in the frame must fail the MAC check.
TEST(peer_handshake, AnyFlippedBitIsRefused) {
  CHECK(rc::check([] {
    auto [client, server] = MakeSeals();
    const auto payload = *rc::gen::arbitrary<std::string>();
    std::string frame = client.Seal(payload);
    const std::size_t byte_index =
        *rc::gen::inRange<std::size_t>(0, frame.size());
    frame[byte_index] ^= static_cast<char>(1 << *rc::gen::inRange(0, 8));
    RC_ASSERT(server.Open(frame).error() == seal_error::kBadMac);
  }));
}

// Guards against accepting messages that are replayed, follow a lost message,
// are reflected to their sender or come from another connection.
TEST(peer_handshake, ReplayIsRefused) {
  auto [client, server] = MakeSeals();
  const std::string first = client.Seal("first");
  const std::string second = client.Seal("second");
  CHECK(server.Open(second).error() == seal_error::kBadSequence);
  CHECK(server.Open(first).value() == "first");
  CHECK(server.Open(first).error() == seal_error::kBadSequence);
  CHECK(client.Open(first).error() == seal_error::kBadMac);
  auto [other_client, other_server] = MakeSeals('t');
  CHECK(other_server.Open(first).error() == seal_error::kBadMac);
  CHECK(other_server.Open("short").error() == seal_error::kTooShort);
}

// Guards against silently truncating or padding a mistyped fleet key.
TEST(peer_handshake, FleetKeyMustBe64HexadecimalDigits) {
  CHECK(ParseFleetKey(std::string(64, 'a')).has_value());
  CHECK_FALSE(ParseFleetKey(std::string(62, 'a')).has_value());
  CHECK_FALSE(ParseFleetKey(std::string(66, 'a')).has_value());
  CHECK_FALSE(ParseFleetKey(std::string(63, 'a') + "g").has_value());
  CHECK_FALSE(ParseFleetKey("").has_value());
}

}  // namespace papayakeel
