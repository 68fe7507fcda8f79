// The body of an answer as a string that grows with the bytes that arrive.
// Beast's own string body reserves the announced length at once, also of an
// answer of which nothing more comes.
#ifndef MODULES_HTTP_GROWING_BODY_H_
#define MODULES_HTTP_GROWING_BODY_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>

#include "modules/http/http_types.h"

namespace papayakeel {
namespace detail {

// Meets Beast's requirements of a body that can be parsed.
struct growing_body {
  using value_type = std::string;

  class reader {
   public:
    template <bool is_request, class fields_type>
    reader(http::header<is_request, fields_type>&, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& announced,
              boost::system::error_code& error) {
      announced_ = static_cast<std::size_t>(announced.value_or(0));
      error = {};
    }

    template <class buffers_type>
    std::size_t put(const buffers_type& buffers,
                    boost::system::error_code& error) {
      const std::size_t added = boost::asio::buffer_size(buffers);
      const std::size_t needed = body_.size() + added;
      if (needed > body_.capacity()) {
        // A whole answer fills its announced length exactly.
        const std::size_t doubled = 2 * body_.capacity();
        const std::size_t wanted =
            announced_ > 0 ? std::min(doubled, announced_) : doubled;
        body_.reserve(std::max(needed, wanted));
      }
      for (const boost::asio::const_buffer each :
           boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(each.data()), each.size());
      }
      error = {};
      return added;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
    std::size_t announced_ = 0;  // 0: unknown.
  };
};

}  // namespace detail
}  // namespace papayakeel

#endif  // MODULES_HTTP_GROWING_BODY_H_
