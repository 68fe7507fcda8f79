// The parser is driven here and not by Beast's read operations: these read on
// without a callback while a chunk header is incomplete, and their buffers and
// the framing of chunks are not limited.
#include "modules/http/answer_reader.h"

#include <algorithm>
#include <utility>

#include <boost/asio/error.hpp>

namespace papayakeel {

namespace {

// Read at a time, before and after the end of the header. Most answers fit the
// first, and many exchanges wait for their first byte at a time.
constexpr std::size_t kFirstReadBytes = 4 * 1024;
constexpr std::size_t kBodyReadBytes = 64 * 1024;

// Chunk headers and trailers are parsed only whole.
constexpr std::size_t kMaxBufferedBytes = 128 * 1024;

constexpr std::size_t kMaxIdleBytes = 8 * 1024;

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kSwitchingProtocolsStatus = 101;

// An upgrade is never requested.
bool IsValidStatus(unsigned status) {
  return status >= kFirstStatus && status <= kLastStatus &&
         status != kSwitchingProtocolsStatus;
}

std::string MessageOf(http::error error) {
  return http::make_error_code(error).message();
}

}  // namespace

answer_reader::answer_reader() : buffer_(kMaxBufferedBytes) {}

void answer_reader::Start(const answer_limits& limits) {
  limits_ = limits;
  parsed_bytes_ = 0;
  error_.clear();
  parser_.emplace();
  parser_->header_limit(limits.header_bytes);
  parser_->body_limit(limits.body_bytes);
  head_lines_ = field_lines(true);
  if (limits.is_head)
    parser_->skip(true);
}

boost::asio::mutable_buffer answer_reader::Prepare() {
  const std::size_t wanted =
      parser_->is_header_done() ? kBodyReadBytes : kFirstReadBytes;
  // Growing copies all bytes, so the room that is left is used up first.
  const std::size_t left = buffer_.capacity() - buffer_.size();
  if (buffer_.capacity() >= wanted && left >= kFirstReadBytes)
    return buffer_.prepare(std::min(wanted, left));
  // `Parse` leaves room.
  return buffer_.prepare(std::min(wanted, buffer_.max_size() - buffer_.size()));
}

answer_state answer_reader::Receive(const boost::system::error_code& error,
                                    std::size_t size) {
  buffer_.commit(size);
  if (!error)
    return Parse();
  if (error != boost::asio::error::eof)
    return Break(error.message());
  if (!has_bytes())
    return Break("end of stream");
  if (!parser_->is_header_done())
    return Break(MessageOf(http::error::partial_message));
  if (has_write_failed_ && parser_->need_eof())
    return Break("end of stream after a failed write");
  boost::system::error_code end_error;
  parser_->put_eof(end_error);
  if (end_error)
    return Break(end_error.message());
  return answer_state::kComplete;
}

answer_state answer_reader::Parse() {
  while (!parser_->is_done()) {
    if (buffer_.size() == 0)
      return answer_state::kIncomplete;
    if (!parser_->is_header_done()) {
      const answer_state head = CheckHead();
      if (head != answer_state::kComplete)
        return head;
    }
    boost::system::error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    if (!error && parser_->trailer() != nullptr && !CheckTrailer())
      return answer_state::kBroken;
    buffer_.consume(used);
    parsed_bytes_ += used;
    const bool is_too_long =
        parsed_bytes_ > limits_.header_bytes &&
        (parsed_bytes_ - limits_.header_bytes) / 2 > limits_.body_bytes;
    if (is_too_long)
      return Break("answer too long");
    if (error == http::error::need_more && parser_->is_header_done()) {
      return buffer_.size() < buffer_.max_size() ? answer_state::kIncomplete
                                                 : Break("answer too long");
    }
    if (error)
      return Break(error.message());
    if (parser_->is_header_done() &&
        !IsValidStatus(parser_->get().result_int())) {
      return Break("invalid status");
    }
    // Until the header is read, an eager parser would pass over the error of a
    // length beyond the limit.
    parser_->eager(parser_->is_header_done());
  }
  return answer_state::kComplete;
}

answer_state answer_reader::CheckHead() {
  const boost::asio::const_buffer bytes = buffer_.data();
  const field_lines::state state =
      head_lines_.Check({static_cast<const char*>(bytes.data()), bytes.size()});
  if (state == field_lines::state::kMalformed)
    return Break(head_lines_.error());
  const bool is_complete = state == field_lines::state::kComplete;
  const std::size_t size = is_complete ? head_lines_.size() : bytes.size();
  if (size > limits_.header_bytes)
    return Break(MessageOf(http::error::header_limit));
  return is_complete ? answer_state::kComplete : answer_state::kIncomplete;
}

bool answer_reader::CheckTrailer() {
  const boost::asio::const_buffer bytes = buffer_.data();
  const char* const end = static_cast<const char*>(bytes.data()) + bytes.size();
  const char* const start = parser_->trailer();
  field_lines lines(false);
  const field_lines::state state =
      lines.Check({start, static_cast<std::size_t>(end - start)});
  if (state == field_lines::state::kComplete)
    return true;
  Break(std::string("trailer: ") + lines.error());
  return false;
}

http_response answer_reader::Release() {
  message released = parser_->release();
  return http_response(std::move(released.base()), std::move(released.body()));
}

answer_state answer_reader::Break(std::string error) {
  error_ = std::move(error);
  return answer_state::kBroken;
}

void answer_reader::Shrink() {
  if (buffer_.capacity() > kMaxIdleBytes)
    buffer_.shrink_to_fit();
}

}  // namespace papayakeel
