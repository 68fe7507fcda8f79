// Tests of answers that break off, at every byte, and of malformed ones.
#include "modules/http/answer_reader.h"

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/error.hpp>

#include "tests/modules/support/malformed_answers.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nX-Proof: seal\r\nX-Long: 0123456789\r\n";

struct whole_answer {
  const char* name;
  std::string bytes;
  // The end of the connection ends the body, so a cut of the body that is no
  // reset cannot be seen.
  bool ends_with_connection = false;
};

std::vector<whole_answer> Answers() {
  const std::string head = kHead;
  return {
      {"length", head + "Content-Length: 5\r\n\r\nhello"},
      {"no body", head + "Content-Length: 0\r\n\r\n"},
      {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n"
                        "2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nX-Trailer: t\r\n\r\n"},
      {"close", head + "Connection: close\r\n\r\nhello", true},
  };
}

// Feeds `bytes` in pieces of `piece` bytes.
answer_state Feed(answer_reader& reader,
                  std::string_view bytes,
                  std::size_t piece) {
  answer_state state = answer_state::kIncomplete;
  while (!bytes.empty() && state == answer_state::kIncomplete) {
    const std::size_t size = std::min(piece, bytes.size());
    std::memcpy(reader.Prepare().data(), bytes.data(), size);
    state = reader.Receive({}, size);
    bytes.remove_prefix(size);
  }
  return state;
}

// Names the answers that are not broken, in whatever pieces they arrive.
std::string Accepted(const std::vector<malformed_answer>& answers) {
  std::string accepted;
  for (const malformed_answer& answer : answers) {
    for (const std::size_t piece :
         {std::size_t{1}, std::size_t{7}, answer.bytes.size()}) {
      answer_reader reader;
      reader.Start({});
      const answer_state state = Feed(reader, answer.bytes, piece);
      const bool is_broken = state == answer_state::kBroken &&
                             !reader.is_complete() && !reader.error().empty();
      if (!is_broken)
        accepted += answer.name + " in " + std::to_string(piece) + "; ";
    }
  }
  return accepted;
}

constexpr std::size_t kFramingBytes = 100 * 1024;
constexpr int kMostMoves = 16;

}  // namespace

TEST_GROUP(answer_reader){};

// Guards against an answer that broke off and counts as whole, wherever it was
// cut and however it arrived.
TEST(answer_reader, CutAnswersAreBroken) {
  const std::vector<boost::system::error_code> ends = {
      boost::asio::error::eof, boost::asio::error::connection_reset};
  for (const whole_answer& answer : Answers()) {
    const std::size_t head_end = answer.bytes.find("\r\n\r\n") + 4;
    for (std::size_t cut = 0; cut < answer.bytes.size(); ++cut) {
      for (const std::size_t piece : {std::size_t{1}, answer.bytes.size()}) {
        for (const boost::system::error_code& end : ends) {
          answer_reader reader;
          reader.Start({});
          const std::string_view sent =
              std::string_view(answer.bytes).substr(0, cut);
          const std::string text = std::string(answer.name) + " cut after " +
                                   std::to_string(cut) + ", " + end.message();
          CHECK_TRUE_TEXT(
              Feed(reader, sent, piece) == answer_state::kIncomplete,
              text.c_str());
          const bool is_unseen = answer.ends_with_connection &&
                                 cut >= head_end &&
                                 end == boost::asio::error::eof;
          const answer_state state = reader.Receive(end, 0);
          CHECK_TRUE_TEXT(state == (is_unseen ? answer_state::kComplete
                                              : answer_state::kBroken),
                          text.c_str());
        }
      }
    }
  }
}

// Guards against an answer that depends on how its bytes arrive.
TEST(answer_reader, PiecesMakeTheSameAnswer) {
  for (const whole_answer& answer : Answers()) {
    for (std::size_t piece = 1; piece <= answer.bytes.size(); ++piece) {
      answer_reader reader;
      reader.Start({});
      answer_state state = Feed(reader, answer.bytes, piece);
      if (answer.ends_with_connection)
        state = reader.Receive(boost::asio::error::eof, 0);
      CHECK_TRUE_TEXT(state == answer_state::kComplete, answer.name);
      const bool has_body = std::string(answer.name) != "no body";
      STRCMP_EQUAL(has_body ? "hello" : "", reader.answer().body().c_str());
      STRCMP_EQUAL("seal", std::string(reader.answer()["X-Proof"]).c_str());
    }
  }
}

// Guards against an answer with a status that does not exist, or that switches
// to another protocol, and against what follows it being read as the answer.
TEST(answer_reader, InvalidStatusesAreBroken) {
  STRCMP_EQUAL("", Accepted(MakeInvalidStatuses("X-Proof: s\r\n")).c_str());
}

// Guards against lines that are passed on, or that are read differently by
// others, so that a body is not the server's.
TEST(answer_reader, MalformedFieldsAreBroken) {
  STRCMP_EQUAL("", Accepted(MakeMalformedFields("X-Proof: s\r\n")).c_str());
}

// Guards against rules that refuse valid lines.
TEST(answer_reader, UnusualFieldsAreRead) {
  const std::string lines =
      "x!#$%&'*+-.^_`|~09: v\r\nX-Empty:\r\nX-Blank: \t \r\n"
      "X-Text:a\tb c\xe4\"(:;\r\n";
  const std::string head = "HTTP/1.1 200 OK\r\n" + lines;
  std::string chunked =
      head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0;x\r\n";
  chunked += lines + "\r\n";
  for (const std::string& bytes :
       {head + "Content-Length: 2\r\n\r\nok", chunked}) {
    for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
      answer_reader reader;
      reader.Start({});
      CHECK(Feed(reader, bytes, piece) == answer_state::kComplete);
      STRCMP_EQUAL("ok", reader.answer().body().c_str());
      STRCMP_EQUAL("a\tb c\xe4\"(:;",
                   std::string(reader.answer()["X-Text"]).c_str());
      LONGS_EQUAL(1, reader.answer().count("X-Text"));
    }
  }
}

// Guards against a trailer field that counts as a field of the header section,
// such as a proof or an id that the header section lacks.
TEST(answer_reader, TrailerFieldsAreNotHeaderFields) {
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nok\r\n0\r\nX-Proof: s\r\nX-Id: 2\r\n\r\n";
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    answer_reader reader;
    reader.Start({});
    CHECK(Feed(reader, bytes, piece) == answer_state::kComplete);
    LONGS_EQUAL(0, reader.answer().count("X-Proof"));
    LONGS_EQUAL(1, reader.answer().count("X-Id"));
    STRCMP_EQUAL("1", std::string(reader.answer()["X-Id"]).c_str());
  }
}

// Guards against an end of stream that ends a body after a reset, whose report
// a failed write has received, and against whole answers that are dropped then.
TEST(answer_reader, EndsAfterAFailedWriteEndNoBody) {
  for (const whole_answer& answer : Answers()) {
    for (const bool has_failed_before : {false, true}) {
      answer_reader reader;
      if (has_failed_before)
        reader.OnWriteFailed();
      reader.Start({});
      const answer_state state = Feed(reader, answer.bytes, 7);
      if (!answer.ends_with_connection) {
        CHECK_TRUE_TEXT(state == answer_state::kComplete, answer.name);
        continue;
      }
      CHECK(state == answer_state::kIncomplete);
      reader.OnWriteFailed();
      CHECK(reader.Receive(boost::asio::error::eof, 0) ==
            answer_state::kBroken);
      CHECK_FALSE(reader.is_complete());
    }
  }
}

// Guards against framing in single bytes that makes the reader copy all that it
// holds with each of them.
TEST(answer_reader, SingleBytesMoveTheBufferRarely) {
  answer_reader reader;
  reader.Start({});
  const std::string start =
      std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n5;x=";
  CHECK(Feed(reader, start, 1) == answer_state::kIncomplete);
  int moves = 0;
  std::uintptr_t expected = 0;  // Where the next byte goes unless all moves.
  for (std::size_t fed = 0; fed < kFramingBytes; ++fed) {
    const std::uintptr_t next =
        reinterpret_cast<std::uintptr_t>(reader.Prepare().data());
    moves += next != expected ? 1 : 0;
    expected = next + 1;
    CHECK(Feed(reader, "y", 1) == answer_state::kIncomplete);
  }
  CHECK(moves <= kMostMoves);
}

}  // namespace papayakeel
