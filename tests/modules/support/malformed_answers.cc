// The cases are complete in every other respect, so that only the malformed
// part can make them broken.
#include "tests/modules/support/malformed_answers.h"

#include <utility>

namespace papayakeel {

namespace {

constexpr char kOk[] = "HTTP/1.1 200 OK\r\n";
constexpr char kLength[] = "Content-Length: 2\r\n";
constexpr char kChunked[] =
    "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";

struct malformed_line {
  const char* name;
  std::string bytes;
};

std::vector<malformed_line> MalformedLines() {
  return {
      {"starts with a space", " folded\r\n"},
      {"starts with a tab", "\tfolded\r\n"},
      {"only a space", " \r\n"},
      {"space before a field", " X-A: v\r\n"},
      {"space before Content-Length", " Content-Length: 1\r\n"},
      {"no name", ": v\r\n"},
      {"no colon", "X-A\r\n"},
      {"space in the name", "X A: v\r\n"},
      {"space after the name", "X-A : v\r\n"},
      {"tab after the name", "X-A\t: v\r\n"},
      {"space after Content-Length", "Content-Length : 1\r\n"},
      {"control byte in the name", "X-\x01: v\r\n"},
      {"NUL in the name", std::string("X-\0: v\r\n", 8)},
      {"CR in the name", "X-\rA: v\r\n"},
      {"DEL in the name", "X-\x7f: v\r\n"},
      {"separator in the name", "X(A: v\r\n"},
      {"high byte in the name", "X-\xe4: v\r\n"},
      {"control byte in the value", "X-A: a\x01z\r\n"},
      {"NUL in the value", std::string("X-A: a\0z\r\n", 10)},
      {"DEL in the value", "X-A: a\x7f\r\n"},
      {"CR in the value", "X-A: a\rz\r\n"},
      {"CR before the end of the line", "X-A: a\r\r\n"},
      {"LF in the value", "X-A: a\nX-B: b\r\n"},
  };
}

}  // namespace

std::vector<malformed_answer> MakeInvalidStatuses(const std::string& fields) {
  std::vector<malformed_answer> answers;
  for (const char* const status : {"000", "001", "099", "101", "600", "999"}) {
    std::string bytes = std::string("HTTP/1.1 ") + status + " Odd\r\n";
    for (const std::string& part :
         {fields, std::string(kLength), std::string("\r\nno"), std::string(kOk),
          fields, std::string(kLength), std::string("\r\nok")})
      bytes += part;
    answers.push_back({status, bytes});
  }
  return answers;
}

std::vector<malformed_answer> MakeMalformedFields(const std::string& fields) {
  std::vector<malformed_answer> answers;
  for (const malformed_line& line : MalformedLines()) {
    const std::string name = line.name;
    answers.push_back(
        {name + ", first", kOk + line.bytes + fields + kLength + "\r\nok"});
    answers.push_back({name + ", between others",
                       kOk + fields + line.bytes + kLength + "\r\nok"});
    answers.push_back(
        {name + ", last", kOk + fields + kLength + line.bytes + "\r\nok"});
    answers.push_back(
        {name + ", trailer", kOk + fields + kChunked + line.bytes + "\r\n"});
    answers.push_back(
        {name + ", second in the trailer",
         kOk + fields + kChunked + "X-T: t\r\n" + line.bytes + "\r\n"});
  }
  return answers;
}

}  // namespace papayakeel
