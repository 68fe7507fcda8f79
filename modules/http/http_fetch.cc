// Sends one HTTP request over a new connection and reads the response.
#include "modules/http/http_fetch.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "drivers/socket_options.h"
#include "modules/http/answer_reader.h"
#include "modules/http/body_compression.h"

namespace papayakeel {

namespace {

constexpr std::uint32_t kMaxHeaderBytes = 8 * 1024;

class fetch_operation : public std::enable_shared_from_this<fetch_operation> {
 public:
  fetch_operation(boost::asio::io_context& context,
                  fetch_request request,
                  fetch_callback done)
      : stream_(context),
        request_(std::move(request)),
        done_(std::move(done)) {}

  void Start() {
    boost::system::error_code error;
    const boost::asio::ip::address host =
        boost::asio::ip::make_address(request_.server.host, error);
    if (error) {
      boost::asio::post(stream_.get_executor(), [self = shared_from_this()] {
        self->Finish(fetch_error_code::kBadAddress);
      });
      return;
    }
    stream_.expires_after(std::min(request_.connect_timeout, request_.timeout));
    stream_.async_connect(
        boost::asio::ip::tcp::endpoint(host, request_.server.port),
        [self = shared_from_this()](
            const boost::system::error_code& connect_error) {
          if (connect_error)
            return self->Finish(fetch_error_code::kConnectFailed);
          SetLowLatencyOptions(self->stream_.socket().native_handle());
          self->Write();
        });
  }

 private:
  void Write() {
    if (request_.request.find(http::field::host) == request_.request.end())
      request_.request.set(http::field::host, request_.server.ToString());
    request_.request.keep_alive(false);
    if (request_.may_be_compressed)
      request_.request.set(http::field::accept_encoding,
                           std::string(kGzipEncoding));
    request_.request.prepare_payload();
    const std::chrono::steady_clock::time_point now =
        std::chrono::steady_clock::now();
    expires_at_ = now + request_.timeout;
    last_expiry_ = now + request_.max_timeout;
    stream_.expires_at(expires_at_);
    http::async_write(stream_, request_.request,
                      [self = shared_from_this()](
                          const boost::system::error_code& error, std::size_t) {
                        // A server may respond early and close the
                        // connection.
                        if (error)
                          self->reader_.OnWriteFailed();
                        self->Read();
                      });
  }

  void Read() {
    answer_limits limits;
    limits.header_bytes = kMaxHeaderBytes;
    limits.body_bytes = request_.max_answer_bytes;
    limits.is_head = request_.request.method() == http::verb::head;
    reader_.Start(limits);
    ReadSome();
  }

  void ReadSome() {
    stream_.async_read_some(
        reader_.Prepare(),
        [self = shared_from_this()](const boost::system::error_code& error,
                                    std::size_t size) {
          if (error == boost::beast::error::timeout)
            return self->Finish(fetch_error_code::kTimedOut);
          if (size > 0)
            self->OnProgress(size);
          switch (self->reader_.Receive(error, size)) {
            case answer_state::kIncomplete:
              return self->ReadSome();
            case answer_state::kBroken:
              return self->Finish(fetch_error_code::kBroken);
            case answer_state::kComplete:
              return self->HandleAnswer();
          }
        });
  }

  void OnProgress(std::size_t bytes) {
    const std::chrono::steady_clock::time_point extended =
        std::min(std::chrono::steady_clock::now() + request_.progress_timeout,
                 last_expiry_);
    expires_at_ = std::max(expires_at_, extended);
    stream_.expires_at(expires_at_);
    request_.on_progress(bytes);
  }

  void HandleAnswer() {
    http_response answer = reader_.Release();
    const bool is_compressed =
        request_.may_be_compressed &&
        ToStringView(answer[http::field::content_encoding]) == kGzipEncoding;
    if (is_compressed) {
      std::optional<std::string> body =
          DecompressBody(answer.body(), request_.max_answer_bytes);
      if (!body)
        return Finish(fetch_error_code::kBroken);
      answer.body() = std::move(*body);
      answer.erase(http::field::content_encoding);
    }
    stream_.close();
    done_(std::move(answer));
  }

  void Finish(fetch_error_code code) {
    stream_.close();
    done_(tl::unexpected(code));
  }

  boost::beast::tcp_stream stream_;
  answer_reader reader_;
  // Time limit of the call, and the latest that it may be extended to.
  std::chrono::steady_clock::time_point expires_at_;
  std::chrono::steady_clock::time_point last_expiry_;
  fetch_request request_;
  fetch_callback done_;
};

}  // namespace

const char* ToString(fetch_error_code code) {
  switch (code) {
    case fetch_error_code::kBadAddress:
      return "bad_address";
    case fetch_error_code::kConnectFailed:
      return "connect_failed";
    case fetch_error_code::kTimedOut:
      return "timed_out";
    case fetch_error_code::kBroken:
      return "broken";
  }
  return "unknown";
}

void Fetch(boost::asio::io_context& context,
           fetch_request request,
           fetch_callback done) {
  std::make_shared<fetch_operation>(context, std::move(request),
                                    std::move(done))
      ->Start();
}

}  // namespace papayakeel
