// Compression with zlib in one piece.
#include "modules/http/body_compression.h"

#include <algorithm>

// Makes zlib take its input as const.
#define ZLIB_CONST
#include <zlib.h>

namespace papayakeel {

namespace {

// 32 KiB of history, and 16 for the gzip format.
constexpr int kGzipWindowBits = 15 + 16;
constexpr int kMemoryLevel = 8;

constexpr std::size_t kFirstOutputBytes = 64 << 10;

void SetInput(z_stream& stream, std::string_view bytes) {
  stream.next_in = reinterpret_cast<const Bytef*>(bytes.data());
  stream.avail_in = static_cast<uInt>(bytes.size());
}

}  // namespace

std::string CompressBody(std::string_view body) {
  z_stream stream{};
  deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, kGzipWindowBits, kMemoryLevel,
               Z_DEFAULT_STRATEGY);
  std::string compressed(deflateBound(&stream, static_cast<uLong>(body.size())),
                         '\0');
  SetInput(stream, body);
  stream.next_out = reinterpret_cast<Bytef*>(compressed.data());
  stream.avail_out = static_cast<uInt>(compressed.size());
  deflate(&stream, Z_FINISH);
  compressed.resize(stream.total_out);
  deflateEnd(&stream);
  return compressed;
}

std::optional<std::string> DecompressBody(std::string_view body,
                                          std::size_t max_bytes) {
  z_stream stream{};
  if (inflateInit2(&stream, kGzipWindowBits) != Z_OK)
    return std::nullopt;
  SetInput(stream, body);
  std::string decompressed;
  int status = Z_OK;
  while (status == Z_OK && decompressed.size() <= max_bytes) {
    // One byte beyond the limit shows that the body is too large.
    const std::size_t begin = decompressed.size();
    decompressed.resize(
        std::min(std::max(2 * begin, kFirstOutputBytes), max_bytes + 1));
    if (decompressed.size() == begin)
      break;
    stream.next_out = reinterpret_cast<Bytef*>(decompressed.data() + begin);
    stream.avail_out = static_cast<uInt>(decompressed.size() - begin);
    status = inflate(&stream, Z_NO_FLUSH);
    decompressed.resize(decompressed.size() - stream.avail_out);
  }
  const bool is_whole = status == Z_STREAM_END && stream.avail_in == 0 &&
                        decompressed.size() <= max_bytes;
  inflateEnd(&stream);
  if (!is_whole)
    return std::nullopt;
  return decompressed;
}

}  // namespace papayakeel
