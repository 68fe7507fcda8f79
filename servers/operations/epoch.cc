// Conversion of epochs to and from text.
#include "servers/operations/epoch.h"

namespace papayakeel {

namespace {

constexpr std::size_t kDigitsPerHalf = epoch::kTextLength / 2;

// Returns the value of a hexadecimal digit, or std::nullopt for any other
// character. Does not depend on the locale.
std::optional<std::uint64_t> DigitValue(char digit) {
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  if (digit >= 'a' && digit <= 'f')
    return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F')
    return digit - 'A' + 10;
  return std::nullopt;
}

void AppendHalf(std::uint64_t half, std::string& text) {
  for (std::size_t digit = 0; digit < kDigitsPerHalf; ++digit)
    text += "0123456789abcdef"[half >> (60 - 4 * digit) & 0xf];
}

std::optional<std::uint64_t> ParseHalf(std::string_view text) {
  std::uint64_t half = 0;
  for (const char digit : text) {
    const std::optional<std::uint64_t> value = DigitValue(digit);
    if (!value)
      return std::nullopt;
    half = half << 4 | *value;
  }
  return half;
}

}  // namespace

std::string epoch::ToString() const {
  std::string text;
  text.reserve(kTextLength);
  AppendHalf(high, text);
  AppendHalf(low, text);
  return text;
}

std::optional<epoch> epoch::Parse(std::string_view text) {
  if (text.size() != kTextLength)
    return std::nullopt;
  const std::optional<std::uint64_t> high =
      ParseHalf(text.substr(0, kDigitsPerHalf));
  const std::optional<std::uint64_t> low =
      ParseHalf(text.substr(kDigitsPerHalf));
  if (!high || !low)
    return std::nullopt;
  return epoch{*high, *low};
}

}  // namespace papayakeel
