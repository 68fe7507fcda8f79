// Overrides what Beast's parser does with fields and with chunk headers.
#include "modules/http/answer_parser.h"

namespace papayakeel {
namespace detail {

namespace {

constexpr int kLineEndBytes = 2;

}  // namespace

void answer_parser::on_field_impl(http::field name,
                                  boost::beast::string_view name_text,
                                  boost::beast::string_view value,
                                  boost::system::error_code& /*error*/) {
  if (!is_header_done())
    get().insert(name, name_text, value);
}

void answer_parser::on_chunk_header_impl(std::uint64_t size,
                                         boost::beast::string_view extensions,
                                         boost::system::error_code& /*error*/) {
  // The extensions end the line of the chunk's size.
  if (size == 0)
    trailer_ = extensions.data() + extensions.size() + kLineEndBytes;
}

}  // namespace detail
}  // namespace papayakeel
