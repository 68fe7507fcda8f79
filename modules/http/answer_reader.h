// Parses the answers on one connection to an HTTP/1.1 server, without doing any
// input. What it holds and what it parses of one answer is bounded, whatever
// the server writes.
#ifndef MODULES_HTTP_ANSWER_READER_H_
#define MODULES_HTTP_ANSWER_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/system/error_code.hpp>

#include "modules/http/answer_parser.h"
#include "modules/http/field_lines.h"
#include "modules/http/growing_body.h"
#include "modules/http/http_types.h"

namespace papayakeel {

struct answer_limits {
  std::uint32_t header_bytes = 64 * 1024;
  // Of the body without its framing. Framing may take as much again.
  std::size_t body_bytes = 1 << 20;
  // The answer to a HEAD request, which has no body.
  bool is_head = false;
};

enum class answer_state {
  kIncomplete,  // More bytes are needed.
  kComplete,
  kBroken,  // Malformed, beyond a limit, or cut off.
};

class answer_reader {
 public:
  using message = http::response<detail::growing_body>;

  answer_reader();

  // Begins the next answer. Bytes that follow the last one are its first.
  void Start(const answer_limits& limits);

  // Returns where the next bytes from the server go.
  boost::asio::mutable_buffer Prepare();
  // Call when a write on the connection has failed. The kernel reports a reset
  // only once, and the write may have received the report: an end of stream
  // then no longer shows that a body without a length is whole.
  void OnWriteFailed() { has_write_failed_ = true; }
  // Takes the result of a read into the prepared buffer.
  answer_state Receive(const boost::system::error_code& error,
                       std::size_t size);
  // Parses the bytes that are there.
  answer_state Parse();

  // A broken answer may have been parsed to its end.
  bool is_complete() const {
    return parser_ && parser_->is_done() && error_.empty();
  }
  // Whether a byte of the answer has arrived.
  bool has_bytes() const {
    return parser_ && (parser_->got_some() || buffer_.size() > 0);
  }
  // Whether bytes follow the answer.
  bool has_surplus() const { return buffer_.size() > 0; }
  // Whether only the end of the connection ends the answer.
  bool ends_with_connection() const { return parser_->need_eof(); }
  // Bytes of the answer that have been parsed, and those of the buffer for what
  // comes next. Bytes that are only announced do not count.
  std::size_t held_bytes() const {
    return parsed_bytes_ + (is_complete() ? 0 : buffer_.capacity());
  }
  // Bytes of the answer's body that have arrived.
  std::size_t body_bytes() const {
    return parser_ ? parser_->get().body().size() : 0;
  }
  // Size of the whole body as announced, or what has arrived of a body without
  // a length.
  std::uint64_t expected_body_bytes() const {
    const auto announced = parser_ ? parser_->content_length() : boost::none;
    return announced ? *announced : body_bytes();
  }
  // The cause of kBroken.
  const std::string& error() const { return error_; }

  const message& answer() const { return parser_->get(); }
  http_response Release();
  // Drops the answer, but not the bytes that follow it.
  void Drop() { parser_.reset(); }
  // Gives back memory that an idle connection does not need.
  void Shrink();

 private:
  answer_state Break(std::string error);
  // Checks the lines of the header section. Only when they are all there does
  // the parser get them.
  answer_state CheckHead();
  // Checks the lines of the trailer section, which has just been parsed and is
  // still in the buffer. Breaks the answer and returns false if one is
  // malformed.
  bool CheckTrailer();

  boost::beast::flat_buffer buffer_;
  std::optional<detail::answer_parser> parser_;
  field_lines head_lines_{true};
  answer_limits limits_;
  std::size_t parsed_bytes_ = 0;
  std::string error_;
  bool has_write_failed_ = false;  // Holds for all answers on the connection.
};

}  // namespace papayakeel

#endif  // MODULES_HTTP_ANSWER_READER_H_
