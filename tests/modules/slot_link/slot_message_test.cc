// Tests of the encoding of slot messages.
#include "modules/slot_link/slot_message.h"

#include <string>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

slot_message MakeMessage(slot_message_type type) {
  slot_message message;
  message.type = type;
  message.shard = {"bokning", 1, 2};
  message.request.key = {"10.0.0.1:7000", 77};
  message.request.work_class = "a.example/book/";
  message.request.importance = 2;
  message.request.max_attempts = 3;
  message.request.earlier_attempts = 1;
  message.request.goal = milliseconds(500);
  message.attempt = 12;
  message.endpoint_id = "i-1";
  message.is_hedge = true;
  message.reason = slot_refusal::kOverload;
  message.retry_after = milliseconds(250);
  message.outcome = attempt_outcome::kRejected;
  message.load = endpoint_load{1, 2, 3, 4.5};
  message.transfer = answer_transfer{540'000, milliseconds(432)};
  message.request.link_bytes_per_second = 1'250'000;
  return message;
}

}  // namespace

TEST_GROUP(slot_message){};

// Guards against fields that are lost in the encoding, and against times that
// are wrong by the difference between the clocks of sender and receiver.
TEST(slot_message, RoundTrip) {
  const monotonic_time sender{std::chrono::hours(5)};
  const monotonic_time receiver{std::chrono::hours(90)};
  slot_message submit = MakeMessage(slot_message_type::kSubmit);
  submit.request.arrival = sender - milliseconds(20);
  submit.request.deadline = sender + milliseconds(1500);
  submit.request.stated_limit = milliseconds(2500);
  const slot_message decoded =
      *DecodeSlotMessage(EncodeSlotMessage(submit, sender), receiver);
  CHECK(decoded.request.key == submit.request.key);
  CHECK(decoded.shard == submit.shard);
  CHECK(decoded.request.deadline == receiver + milliseconds(1500));
  CHECK(decoded.request.arrival == receiver - milliseconds(20));
  LONGS_EQUAL(1, decoded.request.earlier_attempts);
  CHECK(decoded.request.stated_limit == milliseconds(2500));
  submit.request.stated_limit.reset();
  CHECK_FALSE(DecodeSlotMessage(EncodeSlotMessage(submit, sender), receiver)
                  ->request.stated_limit.has_value());
  LONGS_EQUAL(1'250'000, decoded.request.link_bytes_per_second);

  const slot_message report = *DecodeSlotMessage(
      EncodeSlotMessage(MakeMessage(slot_message_type::kReport), sender),
      receiver);
  CHECK(report.outcome == attempt_outcome::kRejected);
  DOUBLES_EQUAL(4.5, report.load->slowdown, 0.001);
  CHECK_FALSE(report.leaving_endpoint.has_value());
  LONGS_EQUAL(540'000, report.transfer->bytes);
  CHECK(report.transfer->elapsed == milliseconds(432));
  const slot_message start = *DecodeSlotMessage(
      EncodeSlotMessage(MakeMessage(slot_message_type::kTransferStart), sender),
      receiver);
  CHECK(start.type == slot_message_type::kTransferStart);
  LONGS_EQUAL(12, start.attempt);
  CHECK(start.transfer->elapsed == milliseconds(432));
  slot_message leaving_report = MakeMessage(slot_message_type::kReport);
  leaving_report.leaving_endpoint = {"i-1", 1000};
  for (const bool has_load : {true, false}) {
    if (!has_load) {
      leaving_report.load.reset();
      leaving_report.transfer.reset();
    }
    const slot_message leaving =
        *DecodeSlotMessage(EncodeSlotMessage(leaving_report, sender), receiver);
    CHECK(leaving.load.has_value() == has_load);
    CHECK(leaving.transfer.has_value() == has_load);
    STRCMP_EQUAL("i-1", leaving.leaving_endpoint->id.c_str());
    LONGS_EQUAL(1000, leaving.leaving_endpoint->started_unix_ms);
  }
  const slot_message reject = *DecodeSlotMessage(
      EncodeSlotMessage(MakeMessage(slot_message_type::kReject), sender),
      receiver);
  CHECK(reject.reason == slot_refusal::kOverload);
  CHECK(reject.retry_after == milliseconds(250));
}

// Guards against a request whose holder has no valid address: the address was
// used unchecked when the owner sent the grant.
TEST(slot_message, RejectsAHolderWithoutAValidAddress) {
  const monotonic_time now{};
  slot_message submit = MakeMessage(slot_message_type::kSubmit);
  for (const char* const holder : {"", "10.0.0.1", "10.0.0.1:port"}) {
    submit.request.key.entry_vm = holder;
    CHECK_FALSE(
        DecodeSlotMessage(EncodeSlotMessage(submit, now), now).has_value());
  }
}

// Guards against stated limits that no caller can have stated, among them some
// that would overflow a time.
TEST(slot_message, RejectsAStatedLimitOutOfRange) {
  const monotonic_time now{};
  slot_message submit = MakeMessage(slot_message_type::kSubmit);
  submit.request.stated_limit = milliseconds(600'000);
  CHECK(DecodeSlotMessage(EncodeSlotMessage(submit, now), now).has_value());
  for (const time_span limit :
       {time_span(milliseconds(600'001)), time_span(milliseconds(-1)),
        time_span::max(), time_span::min()}) {
    submit.request.stated_limit = limit;
    CHECK_FALSE(
        DecodeSlotMessage(EncodeSlotMessage(submit, now), now).has_value());
  }
}

// Guards against sizes, times and speeds of a foreign sender that overflow
// sums, or that shift the start of a transfer into the future.
TEST(slot_message, RejectsTransfersAndLinksOutOfRange) {
  const monotonic_time now{};
  const auto is_taken = [now](slot_message_type type, const json& path,
                              const json& value) {
    json fields = json::from_cbor(EncodeSlotMessage(MakeMessage(type), now));
    fields.at(json::json_pointer(path.get<std::string>())) = value;
    std::string bytes;
    json::to_cbor(fields, bytes);
    return DecodeSlotMessage(bytes, now).has_value();
  };
  const slot_message_type report = slot_message_type::kReport;
  CHECK(is_taken(report, "/7/0", 7));
  CHECK(is_taken(report, "/7", nullptr));
  for (const char* const path : {"/7/0", "/7/1"}) {
    for (const json& value :
         {json(-1), json(1.5), json("7"), json(nullptr), json(~0ULL)}) {
      CHECK_FALSE_TEXT(is_taken(report, path, value), value.dump().c_str());
    }
  }
  CHECK_FALSE(is_taken(report, "/7", 5));
  CHECK_FALSE(is_taken(report, "/7", json::array()));
  for (const json& value : {json(-1), json(1.5), json("7"), json(~0ULL)}) {
    CHECK_FALSE_TEXT(is_taken(slot_message_type::kSubmit, "/5/12", value),
                     value.dump().c_str());
  }
  CHECK_FALSE(is_taken(slot_message_type::kTransferStart, "/6/1", -1));
  CHECK_FALSE(is_taken(slot_message_type::kTransferStart, "/6", nullptr));
  // The layout without transfers.
  CHECK_FALSE(is_taken(report, "/0", 2));
}

// Guards against foreign and truncated datagrams that crash the process or are
// accepted as messages.
TEST(slot_message, RejectsForeignAndTruncatedDatagrams) {
  const monotonic_time now{};
  const std::string whole =
      EncodeSlotMessage(MakeMessage(slot_message_type::kGrant), now);
  CHECK(DecodeSlotMessage(whole, now).has_value());
  for (std::size_t size = 0; size < whole.size(); ++size)
    CHECK_FALSE(DecodeSlotMessage(whole.substr(0, size), now).has_value());
  CHECK_FALSE(DecodeSlotMessage("GET / HTTP/1.1\r\n\r\n", now).has_value());
  CHECK_FALSE(
      DecodeSlotMessage(std::string("\x82\x01\x18\x63", 4), now).has_value());
}

}  // namespace papayakeel
