// Beast's parser of responses, without trailer fields: Beast adds these to the
// fields of the header section, where they would count as the server's proof or
// id.
#ifndef MODULES_HTTP_ANSWER_PARSER_H_
#define MODULES_HTTP_ANSWER_PARSER_H_

#include <cstdint>

#include <boost/system/error_code.hpp>

#include "modules/http/growing_body.h"
#include "modules/http/http_types.h"

namespace papayakeel {
namespace detail {

class answer_parser : public http::response_parser<growing_body> {
 public:
  // Where the trailer section starts, within the bytes that were put last, once
  // the last chunk has been read; null before.
  const char* trailer() const { return trailer_; }

 private:
  void on_field_impl(http::field name,
                     boost::beast::string_view name_text,
                     boost::beast::string_view value,
                     boost::system::error_code& error) override;
  void on_chunk_header_impl(std::uint64_t size,
                            boost::beast::string_view extensions,
                            boost::system::error_code& error) override;

  const char* trailer_ = nullptr;
};

}  // namespace detail
}  // namespace papayakeel

#endif  // MODULES_HTTP_ANSWER_PARSER_H_
