// The cases are complete in every other respect, so that only the malformed
// part can make them broken.
#include "tests/modules/support/malformed_answers.h"

namespace papayakeel {

namespace {

constexpr char kOk[] = "HTTP/1.1 200 OK\r\n";
constexpr char kLength[] = "Content-Length: 2\r\n";

}  // namespace

std::vector<malformed_answer> MakeInvalidStatuses(const std::string& fields) {
  std::vector<malformed_answer> answers;
  for (const char* const status : {"000", "001", "099", "101", "600", "999"}) {
    answers.push_back({status, std::string("HTTP/1.1 ") + status + " Odd\r\n" +
                                   fields + kLength + "\r\nno" + kOk + fields +
                                   kLength + "\r\nok"});
  }
  return answers;
}

}  // namespace papayakeel
