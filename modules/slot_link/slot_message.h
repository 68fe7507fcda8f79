// Datagrams between the entry VM that holds a request and the owner of the
// request's shard. Datagrams may be lost, duplicated or reordered.
#ifndef MODULES_SLOT_LINK_SLOT_MESSAGE_H_
#define MODULES_SLOT_LINK_SLOT_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "servers/placement/service_shard.h"
#include "servers/scheduling/attempt_outcome.h"
#include "servers/scheduling/slot_hooks.h"
#include "servers/scheduling/slot_request.h"

namespace papayakeel {

enum class slot_message_type {
  kSubmit,  // Requests a slot; resent until answered.
  kAdopt,   // Hands an attempt granted by another owner to a new owner.
  kQueued,  // The request is queued at the owner.
  kGrant,
  kReject,
  kReport,  // An attempt has ended.
  kCancel,  // The request no longer needs a slot.
  // The body of an attempt's response is arriving. Not sent for short
  // transfers, and not resent: the report has the transfer time.
  kTransferStart,
  // The receiver of a submit or an adopt has just started and cannot own a
  // shard yet. Another member is to be asked.
  kNotReady,
};

// One start of an endpoint.
struct endpoint_start {
  std::string id;
  std::uint64_t started_unix_ms = 0;
};

struct slot_message {
  slot_message_type type = slot_message_type::kSubmit;
  service_shard shard;
  slot_request request;       // Submit, adopt; others: only its key.
  std::uint64_t attempt = 0;  // Adopt, grant, report, transfer start.
  std::string endpoint_id;    // Adopt, grant.
  bool is_hedge = false;      // Grant.
  slot_refusal reason = slot_refusal::kNoEndpoint;     // Reject.
  time_span retry_after{0};                            // Reject.
  attempt_outcome outcome = attempt_outcome::kBroken;  // Report.
  std::optional<endpoint_load> load;                   // Report.
  // Report; transfer start: the expected size and the time so far.
  std::optional<answer_transfer> transfer;
  // Report: the attempt's endpoint, if it has announced that it leaves.
  std::optional<endpoint_start> leaving_endpoint;
};

// Times are encoded relative to `now`, because the clocks of entry VMs differ.
std::string EncodeSlotMessage(const slot_message& message, monotonic_time now);

// Returns nullopt when `bytes` is not a valid message.
std::optional<slot_message> DecodeSlotMessage(std::string_view bytes,
                                              monotonic_time now);

}  // namespace papayakeel

#endif  // MODULES_SLOT_LINK_SLOT_MESSAGE_H_
