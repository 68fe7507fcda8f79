// CBOR encoding of slot messages. Arrays without field names keep datagrams
// small.
#include "modules/slot_link/slot_message.h"

#include <cstdint>

#include <nlohmann/json.hpp>

#include "core/network_address.h"

namespace papayakeel {

namespace {

using nlohmann::json;

// Incremented when the layout changes. Other versions are rejected.
constexpr int kFormatVersion = 2;
constexpr int kLastType = static_cast<int>(slot_message_type::kNotReady);
constexpr int kLastReason = static_cast<int>(slot_refusal::kAttemptsFailed);
constexpr int kLastOutcome = static_cast<int>(attempt_outcome::kNotSent);

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
       Microseconds(request.deadline - now), request.was_counted});
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
        if (fields.size() > 7 && !fields.at(7).is_null()) {
          const json& load = fields.at(7);
          message.load =
              endpoint_load{load.at(0).get<int>(), load.at(1).get<int>(),
                            load.at(2).get<int>(), load.at(3).get<double>()};
        }
        if (fields.size() > 8) {
          const json& leaving = fields.at(8);
          message.leaving_endpoint = {leaving.at(0).get<std::string>(),
                                      leaving.at(1).get<std::uint64_t>()};
        }
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
