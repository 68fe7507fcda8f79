// Encoding, decoding, signing and signature verification of bundle envelopes.
#include "servers/bundles/bundle_envelope.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include <sodium.h>
#include <nlohmann/json.hpp>

#include "servers/bundles/bundle_content.h"

namespace papayakeel {

namespace {

using nlohmann::json;

constexpr std::uint64_t kEnvelopeFormat = 1;

// Domain separation prefix of the signed bytes: a signature made for another
// purpose with the same key is not valid for a bundle.
constexpr std::string_view kSignatureContext = "papayakeel bundle 1\n";

// Reads a flat CBOR map and rejects nested values immediately. The decoder is
// recursive; deeply nested arrays or maps would otherwise overflow the stack.
class flat_map_handler : public nlohmann::json_sax<json> {
 public:
  std::map<std::string, json> values;

  bool null() override { return false; }
  bool boolean(bool) override { return false; }
  bool number_integer(std::int64_t) override { return false; }
  bool number_unsigned(std::uint64_t value) override { return Add(value); }
  bool number_float(double, const std::string&) override { return false; }
  bool string(std::string& value) override { return Add(std::move(value)); }
  bool binary(json::binary_t& value) override {
    return Add(json::binary(std::move(value)));
  }
  bool start_object(std::size_t) override {
    return !std::exchange(is_open_, true);
  }
  bool key(std::string& value) override {
    key_ = std::move(value);
    return true;
  }
  bool end_object() override { return true; }
  bool start_array(std::size_t) override { return false; }
  bool end_array() override { return false; }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Add(json value) {
    return is_open_ && values.emplace(key_, std::move(value)).second;
  }

  bool is_open_ = false;
  std::string key_;
};

json::binary_t ToBinary(std::string_view bytes) {
  return json::binary_t(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

json MakeSignedPart(const bundle_envelope& envelope) {
  return {{"format", kEnvelopeFormat},
          {"deployment", envelope.deployment},
          {"version", envelope.version},
          {"key_id", envelope.key_id},
          {"content", json::binary(ToBinary(envelope.content))}};
}

std::string ToCborText(const json& value) {
  const std::vector<std::uint8_t> bytes = json::to_cbor(value);
  return {bytes.begin(), bytes.end()};
}

std::string MakeSignedBytes(const bundle_envelope& envelope) {
  return std::string(kSignatureContext) + ToCborText(MakeSignedPart(envelope));
}

const unsigned char* Bytes(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

tl::unexpected<bundle_error> MakeError(bundle_error_code code,
                                       std::string detail) {
  return tl::unexpected(bundle_error{code, 0, "", std::move(detail)});
}

tl::unexpected<bundle_error> MakeOversized(std::size_t size) {
  return MakeError(bundle_error_code::kOversized,
                   "found " + std::to_string(size) +
                       " bytes, allowed: " + std::to_string(kMaxEnvelopeBytes));
}

// Returns whether `published` starts with ASCII text, as it does when an
// operator publishes an unsigned TOML file. The first byte of an envelope is
// the header of a CBOR map, which is not ASCII.
bool IsText(std::string_view published) {
  const std::string_view start = published.substr(0, 64);
  return !start.empty() &&
         std::all_of(start.begin(), start.end(), [](char each) {
           return (each >= ' ' && each < 0x7f) || each == '\n' ||
                  each == '\r' || each == '\t';
         });
}

// Reads the member `key` of the map into `text`. Returns false when the member
// is absent or has another type.
bool ReadMember(const std::map<std::string, json>& values,
                const std::string& key,
                std::string& text) {
  const auto found = values.find(key);
  if (found == values.end() || !found->second.is_string())
    return false;
  text = found->second.get<std::string>();
  return true;
}

bool ReadMember(const std::map<std::string, json>& values,
                const std::string& key,
                std::uint64_t& number) {
  const auto found = values.find(key);
  if (found == values.end() || !found->second.is_number_unsigned())
    return false;
  number = found->second.get<std::uint64_t>();
  return true;
}

const json::binary_t* FindBytes(const std::map<std::string, json>& values,
                                const std::string& key) {
  const auto found = values.find(key);
  if (found == values.end() || !found->second.is_binary())
    return nullptr;
  return &found->second.get_binary();
}

}  // namespace

std::string bundle_envelope::Encode() const {
  json whole = MakeSignedPart(*this);
  whole["signature"] = json::binary(
      std::vector<std::uint8_t>(signature.begin(), signature.end()));
  return ToCborText(whole);
}

tl::expected<bundle_envelope, bundle_error> bundle_envelope::Decode(
    std::string_view published) {
  if (published.size() > kMaxEnvelopeBytes)
    return MakeOversized(published.size());
  if (IsText(published)) {
    return MakeError(bundle_error_code::kUnsigned,
                     "found text, allowed: a bundle signed with papayakeelctl "
                     "bundle sign");
  }
  flat_map_handler handler;
  const bool is_map = json::sax_parse(published.begin(), published.end(),
                                      &handler, json::input_format_t::cbor);
  if (!is_map) {
    return MakeError(bundle_error_code::kSyntax,
                     "found " + std::to_string(published.size()) +
                         " bytes that are not a whole CBOR map, allowed: a "
                         "signed bundle");
  }
  const json::binary_t* signed_bytes = FindBytes(handler.values, "signature");
  if (signed_bytes == nullptr || signed_bytes->empty()) {
    return MakeError(bundle_error_code::kUnsigned,
                     "found no signature, allowed: a bundle signed with "
                     "papayakeelctl bundle sign");
  }
  bundle_envelope read;
  std::uint64_t format = 0;
  const json::binary_t* content = FindBytes(handler.values, "content");
  const bool is_complete =
      ReadMember(handler.values, "format", format) &&
      ReadMember(handler.values, "deployment", read.deployment) &&
      ReadMember(handler.values, "version", read.version) &&
      ReadMember(handler.values, "key_id", read.key_id) && content != nullptr &&
      signed_bytes->size() == read.signature.size();
  if (!is_complete || format != kEnvelopeFormat) {
    return MakeError(bundle_error_code::kSyntax,
                     "found a CBOR map with missing or invalid members, "
                     "allowed: a signed "
                     "bundle of format 1");
  }
  read.content.assign(content->begin(), content->end());
  std::copy(signed_bytes->begin(), signed_bytes->end(), read.signature.begin());
  if (read.Encode() != published) {
    return MakeError(bundle_error_code::kSyntax,
                     "found a signed bundle in a non-canonical encoding, "
                     "allowed: the shortest encoding with sorted keys");
  }
  return read;
}

bool bundle_envelope::IsSignedBy(const bundle_public_key& key) const {
  const std::string message = MakeSignedBytes(*this);
  return crypto_sign_verify_detached(signature.data(), Bytes(message),
                                     message.size(), key.data()) == 0;
}

tl::expected<bundle_envelope, bundle_error> SignBundle(
    const bundle& checked,
    const std::string& key_id,
    const bundle_secret_key& secret) {
  bundle_envelope result;
  result.deployment = checked.deployment;
  result.version = checked.version;
  result.key_id = key_id;
  result.content = MakeBundleContent(checked);
  const std::string message = MakeSignedBytes(result);
  bundle_public_key key{};
  std::array<unsigned char, crypto_sign_SECRETKEYBYTES> expanded{};
  crypto_sign_seed_keypair(key.data(), expanded.data(), secret.data());
  crypto_sign_detached(result.signature.data(), nullptr, Bytes(message),
                       message.size(), expanded.data());
  sodium_memzero(expanded.data(), expanded.size());
  const std::size_t size = result.Encode().size();
  if (size > kMaxEnvelopeBytes)
    return MakeOversized(size);
  return result;
}

}  // namespace papayakeel
