// Parsing and validation of operation keys, which are untrusted input.
#include "servers/operations/operation_key.h"

#include <algorithm>

namespace papayakeel {

namespace {

bool IsVisible(char character) {
  return character > ' ' && character <= '~';
}

}  // namespace

const char* ToString(operation_key_error error) {
  switch (error) {
    case operation_key_error::kEmpty:
      return "empty";
    case operation_key_error::kBadQuotes:
      return "bad_quotes";
    case operation_key_error::kMissingEpoch:
      return "missing_epoch";
    case operation_key_error::kBadEpoch:
      return "bad_epoch";
    case operation_key_error::kEmptySuffix:
      return "empty_suffix";
    case operation_key_error::kSuffixTooLong:
      return "suffix_too_long";
    case operation_key_error::kBadCharacter:
      return "bad_character";
  }
  return "unknown_error";
}

std::string operation_key::ToString() const {
  return owner.ToString() + "." + suffix;
}

tl::expected<operation_key, operation_key_error> operation_key::Parse(
    std::string_view text) {
  if (text.empty())
    return tl::unexpected(operation_key_error::kEmpty);
  if (text.front() == '"') {
    if (text.size() < 2 || text.back() != '"')
      return tl::unexpected(operation_key_error::kBadQuotes);
    text = text.substr(1, text.size() - 2);
    if (text.find_first_of("\"\\") != std::string_view::npos)
      return tl::unexpected(operation_key_error::kBadQuotes);
  }
  if (text.size() <= epoch::kTextLength || text[epoch::kTextLength] != '.')
    return tl::unexpected(operation_key_error::kMissingEpoch);
  const std::optional<epoch> owner =
      epoch::Parse(text.substr(0, epoch::kTextLength));
  if (!owner)
    return tl::unexpected(operation_key_error::kBadEpoch);
  const std::string_view suffix = text.substr(epoch::kTextLength + 1);
  if (suffix.empty())
    return tl::unexpected(operation_key_error::kEmptySuffix);
  if (suffix.size() > kMaxSuffixLength)
    return tl::unexpected(operation_key_error::kSuffixTooLong);
  if (!std::all_of(suffix.begin(), suffix.end(), IsVisible))
    return tl::unexpected(operation_key_error::kBadCharacter);
  return operation_key{*owner, std::string(suffix)};
}

}  // namespace papayakeel
