// Rules for the strings that a setting allows.
#ifndef SERVERS_SETTINGS_TEXT_RULE_H_
#define SERVERS_SETTINGS_TEXT_RULE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace papayakeel {

struct text_rule {
  std::string allowed;  // Text for messages, such as "64 hexadecimal digits".
  std::function<bool(std::string_view)> accepts;
  bool is_secret = false;  // True if messages must not contain the value.
};

// 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit.
text_rule NameRule();

// Like `NameRule`, but without upper-case letters. Callers name a service in
// the Host header, which is not case-sensitive.
text_rule LowerCaseNameRule();

// A token as defined in RFC 9110, such as a header name, of 1 to 64 characters.
text_rule TokenRule();

// Exactly `digits` hexadecimal digits.
text_rule HexRule(std::size_t digits);

// Returns whether `text` is a dotted IPv4 address or an IPv6 address.
bool IsIpAddress(const std::string& text);

// Returns `text` as a quoted JSON string. Control characters are escaped,
// invalid UTF-8 is replaced, and text longer than 80 bytes is truncated.
std::string Quote(std::string_view text);

}  // namespace papayakeel

#endif  // SERVERS_SETTINGS_TEXT_RULE_H_
