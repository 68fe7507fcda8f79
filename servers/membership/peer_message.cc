// Converts message types to their names.
#include "servers/membership/peer_message.h"

namespace papayakeel {

const char* ToString(peer_message_type type) {
  switch (type) {
    case peer_message_type::kHello:
      return "hello";
    case peer_message_type::kPing:
      return "ping";
    case peer_message_type::kPingRequest:
      return "ping_request";
    case peer_message_type::kAck:
      return "ack";
    case peer_message_type::kAnnounce:
      return "announce";
    case peer_message_type::kTableRequest:
      return "table_request";
    case peer_message_type::kTable:
      return "table";
    case peer_message_type::kBundleRequest:
      return "bundle_request";
    case peer_message_type::kBundle:
      return "bundle";
    case peer_message_type::kFinding:
      return "finding";
  }
  return "unknown";
}

}  // namespace papayakeel
