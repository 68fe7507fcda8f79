// CBOR encoding of peer messages: {v: 1, t: type, ...}. Decoding never throws.
// It checks the limits on depth, sizes and counts before it builds any value
// from the input.
#ifndef SERVERS_MEMBERSHIP_PEER_MESSAGE_CODEC_H_
#define SERVERS_MEMBERSHIP_PEER_MESSAGE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "servers/membership/peer_message.h"

namespace papayakeel {

constexpr unsigned kPeerMessageVersion = 1;
constexpr std::size_t kMaxPeerMessageBytes = 64 * 1024;
constexpr std::size_t kMaxPublishedBytes = 1 << 20;
// A published bundle, the sender's record and the enclosing map.
constexpr std::size_t kMaxBundleMessageBytes = kMaxPublishedBytes + 1024;
constexpr std::size_t kMaxUpdatesPerMessage = 64;
// Limit for each address, availability zone, epoch or service name.
constexpr std::size_t kMaxTextBytes = 128;
constexpr std::size_t kChallengeBytes = 32;

enum class peer_message_error {
  kOversized,       // Larger than the limit of its type.
  kMalformed,       // Not one CBOR map within the limits.
  kUnknownVersion,  // Not kPeerMessageVersion.
  kUnknownType,
  kMissingField,
  kBadField,  // Wrong CBOR type, length or value.
};

// Returns the name of `error` for logs and metrics.
const char* ToString(peer_message_error error);

// Returns the encoded bytes of `message`, or an error if the receiver would
// reject it.
tl::expected<std::string, peer_message_error> EncodePeerMessage(
    const peer_message& message);

// Ignores unknown fields and fields that do not belong to the message type.
tl::expected<peer_message, peer_message_error> DecodePeerMessage(
    std::string_view bytes);

}  // namespace papayakeel

#endif  // SERVERS_MEMBERSHIP_PEER_MESSAGE_CODEC_H_
