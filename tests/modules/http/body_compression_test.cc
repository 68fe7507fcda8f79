// Tests of compressed bodies, whole and spoiled.
#include "modules/http/body_compression.h"

#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

TEST_GROUP(body_compression){};

TEST(body_compression, AnyBodyIsRestored) {
  CHECK(rc::check([](const std::string& piece, std::uint8_t count) {
    std::string body;
    for (int index = 0; index < count; ++index)
      body += piece;
    RC_ASSERT(DecompressBody(CompressBody(body), body.size()) == body);
  }));
}

TEST(body_compression, BodiesBeyondTheLimitAreRefused) {
  const std::string body(300'000, 'x');
  const std::string compressed = CompressBody(body);
  CHECK(compressed.size() < body.size() / 100);
  CHECK(DecompressBody(compressed, body.size()) == body);
  CHECK_FALSE(DecompressBody(compressed, body.size() - 1).has_value());
  CHECK_FALSE(DecompressBody(compressed, 0).has_value());
}

TEST(body_compression, SpoiledBodiesAreRefused) {
  const std::string compressed = CompressBody("a body of some length");
  for (std::size_t size = 0; size < compressed.size(); ++size)
    CHECK_FALSE(DecompressBody(compressed.substr(0, size), 1000).has_value());
  CHECK_FALSE(DecompressBody(compressed + "x", 1000).has_value());
  CHECK_FALSE(DecompressBody("a body of some length", 1000).has_value());
  std::string other = compressed;
  other[other.size() / 2] = static_cast<char>(other[other.size() / 2] ^ 0x55);
  CHECK_FALSE(DecompressBody(other, 1000).has_value());
}

}  // namespace papayakeel
