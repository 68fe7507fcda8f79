// An endpoint that begins its work with the header of a request, reads the rest
// of a body when the work is done, and drops a request when its connection
// closes. It has a thread for each connection.
#ifndef REVIEW_SUPPORT_WORKING_ENDPOINT_H_
#define REVIEW_SUPPORT_WORKING_ENDPOINT_H_

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "modules/entry_gateway/header_names.h"

namespace review {

// What an endpoint did with a request.
struct run_record {
  std::string id;
  papayakeel::monotonic_time began_at;
  papayakeel::monotonic_time ended_at;  // Or when its connection had closed.
  bool has_ended = false;
  bool has_answered = false;
};

struct endpoint_settings {
  std::string id;
  std::chrono::milliseconds work{0};
  std::size_t answer_bytes = 100;
  papayakeel::header_names names;
};

// Lives until the process ends, as its threads do.
class working_endpoint {
 public:
  explicit working_endpoint(endpoint_settings settings);

  papayakeel::network_address address() const;
  std::vector<run_record> Runs();

 private:
  void Accept();
  void Serve(boost::asio::ip::tcp::socket& socket);
  // Does the work of a request and sets its answer. Returns false if the
  // connection closed before the end.
  bool Work(
      boost::asio::ip::tcp::socket& socket,
      boost::beast::flat_buffer& buffer,
      boost::beast::http::request_parser<boost::beast::http::string_body>&
          parser,
      boost::beast::http::response<boost::beast::http::string_body>& answer);

  const endpoint_settings settings_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::mutex mutex_;
  std::vector<run_record> runs_;
};

}  // namespace review

#endif  // REVIEW_SUPPORT_WORKING_ENDPOINT_H_
