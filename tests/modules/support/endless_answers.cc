// One case for each part of an answer that has no end of its own.
#include "tests/modules/support/endless_answers.h"

#include <cstddef>

namespace papayakeel {

namespace {

std::string Repeat(const std::string& text, std::size_t bytes) {
  std::string repeated;
  while (repeated.size() < bytes)
    repeated += text;
  return repeated;
}

}  // namespace

std::vector<endless_answer> MakeEndlessAnswers(const std::string& start) {
  const std::string filler(32 * 1024, 'x');
  const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string other =
      "HTTP/1.1 200 OK\r\nPapayakeel-Request-Id: r0\r\n"
      "Content-Length: 2\r\n\r\nok";
  return {
      {"no answer", "", filler},
      {"header line", start + "X-Long: ", filler},
      {"header lines", start, Repeat("X-More: y\r\n", 32 * 1024)},
      {"body without length", start + "\r\n", filler},
      {"body with a huge length",
       start + "Content-Length: 999999999999999\r\n\r\n", filler},
      {"chunks", chunked, Repeat("1\r\nx\r\n", 32 * 1024)},
      {"one chunk", chunked + "ffffffffffff\r\n", filler},
      {"chunk extension", chunked + "1;", filler},
      {"extensions of chunks", chunked,
       "1;" + std::string(8192, 'e') + "\r\nx\r\n"},
      {"trailer", chunked + "0\r\n", Repeat("X-More: y\r\n", 32 * 1024)},
      {"interim answers", "",
       Repeat("HTTP/1.1 100 Continue\r\n\r\n", 32 * 1024), true},
      {"answers to others", "", Repeat(other, 32 * 1024), true},
  };
}

}  // namespace papayakeel
