// Rules for names, tokens, hexadecimal keys and IP addresses.
#include "servers/settings/text_rule.h"

#include <arpa/inet.h>

#include <algorithm>

#include <nlohmann/json.hpp>

namespace papayakeel {

namespace {

constexpr std::size_t kMaxNameCharacters = 64;

// Characters that a token may contain besides letters and digits (RFC 9110,
// section 5.6.2).
constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";

// Longer values are truncated in messages.
constexpr std::size_t kMaxQuotedBytes = 80;

// These functions do not depend on the locale, unlike those of <cctype>.
bool IsDigit(char each) {
  return each >= '0' && each <= '9';
}

bool IsLower(char each) {
  return each >= 'a' && each <= 'z';
}

bool IsUpper(char each) {
  return each >= 'A' && each <= 'Z';
}

bool IsName(std::string_view text, bool allows_upper_case) {
  if (text.empty() || text.size() > kMaxNameCharacters)
    return false;
  const auto is_alphanumeric = [allows_upper_case](char each) {
    return IsDigit(each) || IsLower(each) ||
           (allows_upper_case && IsUpper(each));
  };
  return is_alphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(), [&](char each) {
           return is_alphanumeric(each) || each == '.' || each == '_' ||
                  each == '-';
         });
}

bool IsToken(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameCharacters &&
         std::all_of(text.begin(), text.end(), [&](char each) {
           return IsDigit(each) || IsLower(each) || IsUpper(each) ||
                  kTokenPunctuation.find(each) != std::string_view::npos;
         });
}

bool IsHexDigit(char each) {
  return IsDigit(each) || (each >= 'a' && each <= 'f') ||
         (each >= 'A' && each <= 'F');
}

}  // namespace

text_rule NameRule() {
  return {
      "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit",
      [](std::string_view text) { return IsName(text, true); }};
}

text_rule LowerCaseNameRule() {
  return {
      "1 to 64 lower-case letters, digits, '.', '_' or '-', the first a "
      "letter or digit",
      [](std::string_view text) { return IsName(text, false); }};
}

text_rule TokenRule() {
  return {"a token of RFC 9110 of 1 to 64 characters", IsToken};
}

text_rule HexRule(std::size_t digits) {
  return {std::to_string(digits) + " hexadecimal digits",
          [digits](std::string_view text) {
            return text.size() == digits &&
                   std::all_of(text.begin(), text.end(), IsHexDigit);
          }};
}

bool IsIpAddress(const std::string& text) {
  // inet_pton stops at the first NUL and would accept "127.0.0.1\0x".
  if (text.find('\0') != std::string::npos)
    return false;
  in6_addr parsed{};
  return inet_pton(AF_INET, text.c_str(), &parsed) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

std::string Quote(std::string_view text) {
  const bool is_long = text.size() > kMaxQuotedBytes;
  const std::string shown(text.substr(0, kMaxQuotedBytes));
  return nlohmann::json(shown).dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace) +
         (is_long ? "..." : "");
}

}  // namespace papayakeel
