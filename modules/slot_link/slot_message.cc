// CBOR encoding of slot messages. Arrays without field names keep datagrams
// small.
#include "modules/slot_link/slot_message.h"

#include <algorithm>
#include <cstdint>

#include <nlohmann/json.hpp>

#include "core/network_address.h"

namespace papayakeel {

namespace {

using nlohmann::json;

// Incremented when the layout changes. Other versions are rejected.
constexpr int kFormatVersion = 3;
// Longest limit that a caller may state.
constexpr std::chrono::microseconds kMaxStatedLimit = std::chrono::minutes(10);
constexpr int kLastType = static_cast<int>(slot_message_type::kNotReady);
constexpr int kLastReason = static_cast<int>(slot_refusal::kAttemptsFailed);
constexpr int kLastOutcome = static_cast<int>(attempt_outcome::kNotSent);

// Bounds of what a message may state about a response and a link. Larger values
// would overflow sums and conversions.
constexpr std::uint64_t kMaxAnswerBytes = 1ULL << 50;
constexpr std::uint64_t kMaxLinkSpeed = 1ULL << 50;
constexpr std::int64_t kMaxTransferMicroseconds = 86'400'000'000;

std::int64_t Microseconds(time_span span) {
  return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

time_span FromMicroseconds(const json& value) {
  return std::chrono::microseconds(value.get<std::int64_t>());
}

json EncodeRequest(const slot_request& request, monotonic_time now) {
  return json::array(
      {request.caller_id, request.work_class, request.availability_zone,
       request.importance, request.may_repeat, request.max_attempts,
       request.earlier_attempts, request.bytes, Microseconds(request.goal),
       Microseconds(now - request.arrival),
       Microseconds(request.deadline - now), request.was_counted,
       request.link_bytes_per_second,
       request.stated_limit ? json(Microseconds(*request.stated_limit))
                            : json(nullptr)});
}

// Reads a whole number from 0 to `most`.
std::uint64_t ReadUnsigned(const json& value, std::uint64_t most) {
  const bool is_valid =
      value.is_number_unsigned() && value.get<std::uint64_t>() <= most;
  if (!is_valid)
    throw json::out_of_range::create(401, "number", nullptr);
  return value.get<std::uint64_t>();
}

json EncodeTransfer(const answer_transfer& transfer) {
  const std::int64_t elapsed = std::clamp<std::int64_t>(
      Microseconds(transfer.elapsed), 0, kMaxTransferMicroseconds);
  return json::array({transfer.bytes, static_cast<std::uint64_t>(elapsed)});
}

answer_transfer DecodeTransfer(const json& fields) {
  answer_transfer transfer;
  transfer.bytes = ReadUnsigned(fields.at(0), kMaxAnswerBytes);
  transfer.elapsed = std::chrono::microseconds(
      ReadUnsigned(fields.at(1), kMaxTransferMicroseconds));
  return transfer;
}

std::optional<time_span> DecodeStatedLimit(const json& value) {
  if (value.is_null())
    return std::nullopt;
  const std::chrono::microseconds limit(value.get<std::int64_t>());
  if (limit < std::chrono::microseconds(0) || limit > kMaxStatedLimit)
    throw json::out_of_range::create(401, "stated limit", nullptr);
  return limit;
}

void DecodeRequest(const json& fields,
                   monotonic_time now,
                   slot_request& request) {
  request.caller_id = fields.at(0).get<std::string>();
  request.work_class = fields.at(1).get<std::string>();
  request.availability_zone = fields.at(2).get<std::string>();
  request.importance = fields.at(3).get<int>();
  request.may_repeat = fields.at(4).get<bool>();
  request.max_attempts = fields.at(5).get<int>();
  request.earlier_attempts = fields.at(6).get<int>();
  request.bytes = fields.at(7).get<std::size_t>();
  request.goal = FromMicroseconds(fields.at(8));
  request.arrival = now - FromMicroseconds(fields.at(9));
  request.deadline = now + FromMicroseconds(fields.at(10));
  request.was_counted = fields.at(11).get<bool>();
  request.link_bytes_per_second = ReadUnsigned(fields.at(12), kMaxLinkSpeed);
  request.stated_limit = DecodeStatedLimit(fields.at(13));
}

service_shard DecodeShard(const json& fields) {
  service_shard shard{fields.at(0).get<std::string>(),
                      fields.at(1).get<std::uint32_t>(),
                      fields.at(2).get<std::uint32_t>()};
  if (shard.index >= shard.count)
    throw json::out_of_range::create(401, "shard", nullptr);
  return shard;
}

int ReadEnumerator(const json& value, int last) {
  const int number = value.get<int>();
  if (number < 0 || number > last)
    throw json::out_of_range::create(401, "enumerator", nullptr);
  return number;
}

}  // namespace

std::string EncodeSlotMessage(const slot_message& message, monotonic_time now) {
  json fields =
      json::array({kFormatVersion, static_cast<int>(message.type),
                   json::array({message.shard.service, message.shard.index,
                                message.shard.count}),
                   message.request.key.entry_vm, message.request.key.number});
  switch (message.type) {
    case slot_message_type::kSubmit:
      fields.push_back(EncodeRequest(message.request, now));
      break;
    case slot_message_type::kAdopt:
      fields.push_back(EncodeRequest(message.request, now));
      fields.push_back(message.attempt);
      fields.push_back(message.endpoint_id);
      break;
    case slot_message_type::kGrant:
      fields.push_back(message.attempt);
      fields.push_back(message.endpoint_id);
      fields.push_back(message.is_hedge);
      break;
    case slot_message_type::kReject:
      fields.push_back(static_cast<int>(message.reason));
      fields.push_back(Microseconds(message.retry_after));
      break;
    case slot_message_type::kReport:
      fields.push_back(message.attempt);
      fields.push_back(static_cast<int>(message.outcome));
      fields.push_back(message.transfer ? EncodeTransfer(*message.transfer)
                                        : json(nullptr));
      if (message.load) {
        fields.push_back({message.load->running, message.load->waiting,
                          message.load->slots, message.load->slowdown});
      }
      if (message.leaving_endpoint) {
        if (!message.load)
          fields.push_back(nullptr);
        fields.push_back({message.leaving_endpoint->id,
                          message.leaving_endpoint->started_unix_ms});
      }
      break;
    case slot_message_type::kTransferStart:
      fields.push_back(message.attempt);
      fields.push_back(
          EncodeTransfer(message.transfer.value_or(answer_transfer())));
      break;
    case slot_message_type::kQueued:
    case slot_message_type::kCancel:
    case slot_message_type::kNotReady:
      break;
  }
  std::string bytes;
  json::to_cbor(fields, bytes);
  return bytes;
}

std::optional<slot_message> DecodeSlotMessage(std::string_view bytes,
                                              monotonic_time now) {
  try {
    const json fields = json::from_cbor(bytes.begin(), bytes.end());
    if (fields.at(0).get<int>() != kFormatVersion)
      return std::nullopt;
    slot_message message;
    message.type =
        static_cast<slot_message_type>(ReadEnumerator(fields.at(1), kLastType));
    message.shard = DecodeShard(fields.at(2));
    message.request.key.entry_vm = fields.at(3).get<std::string>();
    // Owners send their answers to this address.
    if (!network_address::Parse(message.request.key.entry_vm))
      return std::nullopt;
    message.request.key.number = fields.at(4).get<std::uint64_t>();
    switch (message.type) {
      case slot_message_type::kSubmit:
        DecodeRequest(fields.at(5), now, message.request);
        break;
      case slot_message_type::kAdopt:
        DecodeRequest(fields.at(5), now, message.request);
        message.attempt = fields.at(6).get<std::uint64_t>();
        message.endpoint_id = fields.at(7).get<std::string>();
        break;
      case slot_message_type::kGrant:
        message.attempt = fields.at(5).get<std::uint64_t>();
        message.endpoint_id = fields.at(6).get<std::string>();
        message.is_hedge = fields.at(7).get<bool>();
        break;
      case slot_message_type::kReject:
        message.reason = static_cast<slot_refusal>(
            ReadEnumerator(fields.at(5), kLastReason));
        message.retry_after = FromMicroseconds(fields.at(6));
        break;
      case slot_message_type::kReport:
        message.attempt = fields.at(5).get<std::uint64_t>();
        message.outcome = static_cast<attempt_outcome>(
            ReadEnumerator(fields.at(6), kLastOutcome));
        if (!fields.at(7).is_null())
          message.transfer = DecodeTransfer(fields.at(7));
        if (fields.size() > 8 && !fields.at(8).is_null()) {
          const json& load = fields.at(8);
          message.load =
              endpoint_load{load.at(0).get<int>(), load.at(1).get<int>(),
                            load.at(2).get<int>(), load.at(3).get<double>()};
        }
        if (fields.size() > 9) {
          const json& leaving = fields.at(9);
          message.leaving_endpoint = {leaving.at(0).get<std::string>(),
                                      leaving.at(1).get<std::uint64_t>()};
        }
        break;
      case slot_message_type::kTransferStart:
        message.attempt = fields.at(5).get<std::uint64_t>();
        message.transfer = DecodeTransfer(fields.at(6));
        break;
      case slot_message_type::kQueued:
      case slot_message_type::kCancel:
      case slot_message_type::kNotReady:
        break;
    }
    return message;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace papayakeel
