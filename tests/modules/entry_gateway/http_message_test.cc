// Tests for headers and bodies of forwarded messages.
#include "modules/entry_gateway/http_message.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_GROUP(http_message){};

// Guards against hop-by-hop headers that reach the endpoint, and against a
// Content-Length that differs from the body size: the endpoint would parse the
// remaining bytes as the next request (request smuggling).
TEST(http_message, RequestHeader) {
  http_request request(http::verb::post, "/a/b?c=d", 11);
  request.set(http::field::host, "a.example");
  request.set(http::field::connection, "keep-alive, X-Hop");
  request.set("X-Hop", "1");
  request.set(http::field::transfer_encoding, "chunked");
  request.set(http::field::expect, "100-continue");
  request.set("X-End-To-End", "2");
  request.set("Time-Left", "900");
  const std::string header =
      SerializeRequestHeader(request, 1234, {{"Time-Left", "850"}});
  STRNCMP_EQUAL("POST /a/b?c=d HTTP/1.1\r\n", header.c_str(), 24);
  CHECK(Contains(header, "X-End-To-End: 2\r\n"));
  CHECK(Contains(header, "Time-Left: 850\r\n"));
  CHECK(Contains(header, "Content-Length: 1234\r\n"));
  for (const char* gone : {"X-Hop", "chunked", "Expect", "900", "Connection"}) {
    CHECK_FALSE(Contains(header, gone));
  }
}

// Guards against a Content-Length header in a GET request without a body.
TEST(http_message, RequestWithoutBody) {
  http_request request(http::verb::get, "/", 11);
  request.set(http::field::host, "a.example");
  CHECK_FALSE(
      Contains(SerializeRequestHeader(request, 0, {}), "Content-Length"));
}

// Guards against a response whose Content-Length differs from its body size,
// and against a response to HEAD that carries a body.
TEST(http_message, Response) {
  http_response response(http::status::ok, 11);
  response.set(http::field::content_length, "99");
  response.body() = "whole";
  const std::string text = SerializeResponse(response, true, false);
  CHECK(Contains(text, "Content-Length: 5\r\n"));
  CHECK(Contains(text, "Connection: close\r\n"));
  CHECK(Contains(text, "\r\n\r\nwhole"));
  const std::string head = SerializeResponse(response, false, true);
  CHECK(Contains(head, "Content-Length: 99\r\n"));
  CHECK_FALSE(Contains(head, "whole"));
}

}  // namespace papayakeel
