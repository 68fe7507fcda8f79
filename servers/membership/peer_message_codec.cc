// Encodes and decodes peer messages.
#include "servers/membership/peer_message_codec.h"

#include <algorithm>
#include <array>
#include <exception>
#include <optional>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace papayakeel {

namespace {

using nlohmann::json;
using error = peer_message_error;

constexpr int kMaxNestingDepth = 4;
constexpr std::size_t kMaxCborValues = 16 * kMaxUpdatesPerMessage;
// Older findings no longer describe the current state of the endpoint.
constexpr std::chrono::hours kMaxFindingAge{1};

constexpr std::array<peer_message_type, 10> kTypes = {
    peer_message_type::kHello,       peer_message_type::kPing,
    peer_message_type::kPingRequest, peer_message_type::kAck,
    peer_message_type::kAnnounce,    peer_message_type::kTableRequest,
    peer_message_type::kTable,       peer_message_type::kBundleRequest,
    peer_message_type::kBundle,      peer_message_type::kFinding,
};

// Checks the input against the limits without building any value. This prevents
// deep nesting from exhausting the stack and declared lengths from exhausting
// memory.
class cbor_limit_checker : public nlohmann::json_sax<json> {
 public:
  bool null() override { return Count(); }
  bool boolean(bool) override { return Count(); }
  bool number_integer(number_integer_t) override { return Count(); }
  bool number_unsigned(number_unsigned_t) override { return Count(); }
  bool number_float(number_float_t, const string_t&) override {
    return Count();
  }
  bool string(string_t& text) override {
    return text.size() <= kMaxTextBytes && Count();
  }
  bool binary(binary_t&) override { return Count(); }
  bool start_object(std::size_t size) override { return Enter(size); }
  bool key(string_t& text) override { return text.size() <= kMaxTextBytes; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t size) override { return Enter(size); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Count() { return ++values_ <= kMaxCborValues; }
  bool Enter(std::size_t size) {
    const bool is_unknown = size == static_cast<std::size_t>(-1);
    return ++depth_ <= kMaxNestingDepth &&
           (is_unknown || size <= kMaxCborValues) && Count();
  }
  bool Leave() {
    --depth_;
    return true;
  }

  int depth_ = 0;
  std::size_t values_ = 0;
};

// Text appears in logs and JSON, so only printable ASCII is accepted.
bool IsValidText(std::string_view text) {
  return text.size() <= kMaxTextBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char each) { return each >= 0x20 && each < 0x7f; });
}

// Reads the fields of one map and records the first error.
class field_reader {
 public:
  explicit field_reader(const json& map) : map_(map) {}

  std::uint64_t Number(const char* key, std::uint64_t limit = UINT64_MAX) {
    const json* value = Find(key, false);
    if (value == nullptr)
      return 0;
    const bool is_valid =
        value->is_number_unsigned() && value->get<std::uint64_t>() <= limit;
    if (!is_valid) {
      Fail(error::kBadField);
      return 0;
    }
    return value->get<std::uint64_t>();
  }

  std::string Text(const char* key) {
    const json* value = Find(key, false);
    if (value == nullptr)
      return {};
    const std::string* text = value->get_ptr<const std::string*>();
    if (text == nullptr || !IsValidText(*text)) {
      Fail(error::kBadField);
      return {};
    }
    return *text;
  }

  std::string Bytes(const char* key, std::size_t least, std::size_t most) {
    const json* value = Find(key, true);
    if (value == nullptr)
      return {};
    const json::binary_t* bytes = value->get_ptr<const json::binary_t*>();
    if (bytes == nullptr || bytes->size() < least || bytes->size() > most) {
      Fail(error::kBadField);
      return {};
    }
    return {bytes->begin(), bytes->end()};
  }

  network_address Address(const char* key, bool is_required) {
    if (Find(key, is_required) == nullptr)
      return {};
    tl::expected<network_address, address_error_code> address =
        network_address::Parse(Text(key));
    if (!address) {
      Fail(error::kBadField);
      return {};
    }
    return std::move(*address);
  }

  const json* Map(const char* key) {
    const json* value = Find(key, true);
    if (value != nullptr && !value->is_object()) {
      Fail(error::kBadField);
      return nullptr;
    }
    return value;
  }

  const json* Find(const char* key, bool is_required) {
    const auto found = map_.find(key);
    if (found != map_.end())
      return &*found;
    if (is_required)
      Fail(error::kMissingField);
    return nullptr;
  }

  void Fail(error reason) {
    if (!failure_)
      failure_ = reason;
  }

  const std::optional<error>& failure() const { return failure_; }

 private:
  const json& map_;
  std::optional<error> failure_;
};

json EncodeRecord(const member& record) {
  json map = {{"a", record.peer_address.ToString()}, {"i", record.incarnation}};
  if (!record.caller_address.host.empty())
    map["l"] = record.caller_address.ToString();
  if (!record.availability_zone.empty())
    map["z"] = record.availability_zone;
  if (record.counter != 0)
    map["n"] = record.counter;
  if (record.state != member_state::kAlive)
    map["s"] = static_cast<std::uint64_t>(record.state);
  if (record.capacity != 0)
    map["p"] = record.capacity;
  if (!record.epoch.empty())
    map["e"] = record.epoch;
  if (record.bundle_version != 0)
    map["b"] = record.bundle_version;
  if (record.bundle_hash != 0)
    map["h"] = record.bundle_hash;
  return map;
}

tl::expected<member, error> DecodeRecord(const json& map) {
  if (!map.is_object())
    return tl::unexpected(error::kBadField);
  field_reader reader(map);
  member record;
  record.peer_address = reader.Address("a", true);
  record.caller_address = reader.Address("l", false);
  record.availability_zone = reader.Text("z");
  reader.Find("i", true);
  record.incarnation = reader.Number("i");
  record.counter = reader.Number("n");
  record.state = static_cast<member_state>(
      reader.Number("s", static_cast<std::uint64_t>(member_state::kDead)));
  record.capacity = reader.Number("p");
  record.epoch = reader.Text("e");
  record.bundle_version = reader.Number("b");
  record.bundle_hash = reader.Number("h");
  if (reader.failure())
    return tl::unexpected(*reader.failure());
  return record;
}

json EncodeFinding(const endpoint_finding& finding) {
  const std::chrono::milliseconds age =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::clamp<time_span>(finding.age, time_span::zero(),
                                kMaxFindingAge));
  return {{"n", finding.service},
          {"a", finding.endpoint.ToString()},
          {"k", static_cast<std::uint64_t>(finding.kind)},
          {"o", static_cast<std::uint64_t>(age.count())}};
}

endpoint_finding DecodeFinding(const json& map, field_reader& message) {
  field_reader reader(map);
  endpoint_finding finding;
  finding.service = reader.Text("n");
  finding.endpoint = reader.Address("a", true);
  finding.kind = static_cast<finding_kind>(
      reader.Number("k", static_cast<std::uint64_t>(finding_kind::kLeaving)));
  const std::chrono::milliseconds oldest = kMaxFindingAge;
  finding.age = std::chrono::milliseconds(
      reader.Number("o", static_cast<std::uint64_t>(oldest.count())));
  if (reader.failure())
    message.Fail(*reader.failure());
  return finding;
}

json MakeBytes(std::string_view bytes) {
  return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

bool HasUpdates(peer_message_type type) {
  return type == peer_message_type::kPing ||
         type == peer_message_type::kPingRequest ||
         type == peer_message_type::kAck ||
         type == peer_message_type::kAnnounce ||
         type == peer_message_type::kTableRequest ||
         type == peer_message_type::kTable;
}

bool HasNumber(peer_message_type type) {
  return type == peer_message_type::kPing ||
         type == peer_message_type::kPingRequest ||
         type == peer_message_type::kAck;
}

std::size_t SizeLimit(peer_message_type type) {
  return type == peer_message_type::kBundle ? kMaxBundleMessageBytes
                                            : kMaxPeerMessageBytes;
}

json EncodeFields(const peer_message& message) {
  json map = {{"v", kPeerMessageVersion}, {"t", ToString(message.type)}};
  if (message.type == peer_message_type::kHello) {
    map["a"] = message.sender.peer_address.ToString();
    map["h"] = message.hello_step;
    if (message.hello_step != 3)
      map["c"] = MakeBytes(message.challenge);
    if (message.hello_step != 1)
      map["r"] = MakeBytes(message.response);
    return map;
  }
  map["s"] = EncodeRecord(message.sender);
  if (HasNumber(message.type)) {
    map["n"] = message.number;
    if (message.type != peer_message_type::kPingRequest)
      map["d"] = message.digest;
  }
  if (message.type == peer_message_type::kTableRequest && message.digest != 0)
    map["d"] = message.digest;
  if (HasUpdates(message.type) && !message.updates.empty()) {
    json updates = json::array();
    for (const member& each : message.updates)
      updates.push_back(EncodeRecord(each));
    map["u"] = std::move(updates);
  }
  if (message.type == peer_message_type::kPingRequest)
    map["a"] = message.target.ToString();
  if (message.type == peer_message_type::kBundle)
    map["p"] = MakeBytes(message.published);
  if (message.type == peer_message_type::kFinding)
    map["f"] = EncodeFinding(message.finding);
  return map;
}

void DecodeHello(field_reader& reader, peer_message& message) {
  message.sender.peer_address = reader.Address("a", true);
  message.hello_step = static_cast<unsigned>(reader.Number("h", 3));
  if (message.hello_step == 0)
    reader.Fail(error::kBadField);
  if (message.hello_step != 3)
    message.challenge = reader.Bytes("c", kChallengeBytes, kChallengeBytes);
  if (message.hello_step != 1)
    message.response = reader.Bytes("r", kChallengeBytes, kChallengeBytes);
}

void DecodeUpdates(field_reader& reader, peer_message& message) {
  const json* updates = reader.Find("u", false);
  if (updates == nullptr)
    return;
  if (!updates->is_array() || updates->size() > kMaxUpdatesPerMessage)
    return reader.Fail(error::kBadField);
  message.updates.reserve(updates->size());
  for (const json& each : *updates) {
    tl::expected<member, error> record = DecodeRecord(each);
    if (!record)
      return reader.Fail(record.error());
    message.updates.push_back(std::move(*record));
  }
}

tl::expected<peer_message, error> DecodeFields(const json& map,
                                               std::size_t size) {
  field_reader reader(map);
  reader.Find("v", true);
  const std::uint64_t version = reader.Number("v");
  reader.Find("t", true);
  const std::string name = reader.Text("t");
  if (reader.failure())
    return tl::unexpected(*reader.failure());
  if (version != kPeerMessageVersion)
    return tl::unexpected(error::kUnknownVersion);
  const auto type = std::find_if(
      kTypes.begin(), kTypes.end(),
      [&name](peer_message_type each) { return name == ToString(each); });
  if (type == kTypes.end())
    return tl::unexpected(error::kUnknownType);
  if (size > SizeLimit(*type))
    return tl::unexpected(error::kOversized);

  peer_message message;
  message.type = *type;
  if (message.type == peer_message_type::kHello) {
    DecodeHello(reader, message);
  } else if (const json* record = reader.Map("s")) {
    tl::expected<member, error> sender = DecodeRecord(*record);
    if (!sender)
      return tl::unexpected(sender.error());
    message.sender = std::move(*sender);
  }
  if (HasNumber(message.type)) {
    reader.Find("n", true);
    message.number = reader.Number("n");
    message.digest = reader.Number("d");
  }
  if (message.type == peer_message_type::kTableRequest)
    message.digest = reader.Number("d");
  if (HasUpdates(message.type))
    DecodeUpdates(reader, message);
  if (message.type == peer_message_type::kPingRequest)
    message.target = reader.Address("a", true);
  if (message.type == peer_message_type::kBundle)
    message.published = reader.Bytes("p", 1, kMaxPublishedBytes);
  if (message.type == peer_message_type::kFinding) {
    if (const json* finding = reader.Map("f"))
      message.finding = DecodeFinding(*finding, reader);
  }
  if (reader.failure())
    return tl::unexpected(*reader.failure());
  return message;
}

bool IsEncodable(const member& record) {
  return !record.peer_address.host.empty() && record.peer_address.port != 0 &&
         IsValidText(record.peer_address.host) &&
         IsValidText(record.caller_address.host) &&
         IsValidText(record.availability_zone) && IsValidText(record.epoch);
}

}  // namespace

const char* ToString(peer_message_error error) {
  switch (error) {
    case peer_message_error::kOversized:
      return "oversized";
    case peer_message_error::kMalformed:
      return "malformed";
    case peer_message_error::kUnknownVersion:
      return "unknown_version";
    case peer_message_error::kUnknownType:
      return "unknown_type";
    case peer_message_error::kMissingField:
      return "missing_field";
    case peer_message_error::kBadField:
      return "bad_field";
  }
  return "unknown";
}

tl::expected<std::string, peer_message_error> EncodePeerMessage(
    const peer_message& message) {
  const bool is_valid = IsEncodable(message.sender) &&
                        message.updates.size() <= kMaxUpdatesPerMessage &&
                        std::all_of(message.updates.begin(),
                                    message.updates.end(), IsEncodable) &&
                        IsValidText(message.finding.service);
  if (!is_valid)
    return tl::unexpected(error::kBadField);
  if (message.published.size() > kMaxPublishedBytes)
    return tl::unexpected(error::kOversized);
  std::string bytes;
  json::to_cbor(EncodeFields(message), bytes);
  if (bytes.size() > SizeLimit(message.type))
    return tl::unexpected(error::kOversized);
  return bytes;
}

tl::expected<peer_message, peer_message_error> DecodePeerMessage(
    std::string_view bytes) {
  if (bytes.size() > kMaxBundleMessageBytes)
    return tl::unexpected(error::kOversized);
  try {
    cbor_limit_checker check;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &check,
                         json::input_format_t::cbor)) {
      return tl::unexpected(error::kMalformed);
    }
    const json map = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!map.is_object())
      return tl::unexpected(error::kMalformed);
    return DecodeFields(map, bytes.size());
  } catch (const std::exception&) {
    // The JSON library throws on some lengths even with exceptions disabled.
    return tl::unexpected(error::kMalformed);
  }
}

}  // namespace papayakeel
