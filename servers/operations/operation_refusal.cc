// Names of refusal codes and the certainty that each code implies.
#include "servers/operations/operation_refusal.h"

namespace papayakeel {

operation_certainty operation_refusal::certainty() const {
  switch (code) {
    case operation_refusal_code::kBadKey:
    case operation_refusal_code::kKeyReused:
    case operation_refusal_code::kEpochClosed:
    case operation_refusal_code::kRefusedEarlier:
    case operation_refusal_code::kLedgerFull:
      return operation_certainty::kNotRun;
    case operation_refusal_code::kOtherMember:
      return operation_certainty::kKnownToOtherProcess;
    case operation_refusal_code::kUnknownEpoch:
    case operation_refusal_code::kTooManyWaiters:
      return operation_certainty::kUnknown;
  }
  return operation_certainty::kUnknown;
}

const char* ToString(operation_refusal_code code) {
  switch (code) {
    case operation_refusal_code::kBadKey:
      return "bad_key";
    case operation_refusal_code::kKeyReused:
      return "other_request";
    case operation_refusal_code::kOtherMember:
      return "other_member";
    case operation_refusal_code::kEpochClosed:
      return "epoch_closed";
    case operation_refusal_code::kRefusedEarlier:
      return "refused_earlier";
    case operation_refusal_code::kLedgerFull:
      return "ledger_full";
    case operation_refusal_code::kUnknownEpoch:
      return "unknown_epoch";
    case operation_refusal_code::kTooManyWaiters:
      return "too_many_waiters";
  }
  return "unknown_code";
}

}  // namespace papayakeel
