// Compression of HTTP bodies as `Content-Encoding: gzip`.
#ifndef MODULES_HTTP_BODY_COMPRESSION_H_
#define MODULES_HTTP_BODY_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace papayakeel {

inline constexpr std::string_view kGzipEncoding = "gzip";

// Returns `body` in gzip format. Favours speed over size.
std::string CompressBody(std::string_view body);

// Returns what `body` holds in gzip format. Returns std::nullopt if it is
// malformed, incomplete, followed by other bytes, or larger than `max_bytes`
// when decompressed.
std::optional<std::string> DecompressBody(std::string_view body,
                                          std::size_t max_bytes);

}  // namespace papayakeel

#endif  // MODULES_HTTP_BODY_COMPRESSION_H_
