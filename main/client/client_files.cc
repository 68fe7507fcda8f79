// Reading, writing and parsing of whole files.
#include "main/client/client_files.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <fstream>
#include <optional>

#include "servers/settings/text_rule.h"

namespace papayakeel {

namespace {

tl::unexpected<file_error> MakeError(file_error::code reason,
                                     const std::string& path) {
  return tl::unexpected(file_error{reason, path});
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view whitespace = " \t\r\n";
  const std::size_t first = text.find_first_not_of(whitespace);
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

}  // namespace

std::string file_error::ToString() const {
  switch (reason) {
    case code::kUnreadable:
      return path + ": cannot be read";
    case code::kUnwritable:
      return path + ": cannot be written";
    case code::kExists:
      return path + ": already exists; key files are never overwritten";
    case code::kMalformed:
      return path + ": does not have the expected format";
  }
  return path;
}

tl::expected<std::string, file_error> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return MakeError(file_error::code::kUnreadable, path);
  // Iterators over the stream buffer would throw when a read fails, for example
  // of a directory. `read` sets the state of the stream instead.
  std::string content;
  std::array<char, 64 * 1024> buffer{};
  while (file) {
    file.read(buffer.data(), buffer.size());
    content.append(buffer.data(), static_cast<std::size_t>(file.gcount()));
  }
  if (file.bad())
    return MakeError(file_error::code::kUnreadable, path);
  return content;
}

tl::expected<void, file_error> ReplaceFile(const std::string& path,
                                           std::string_view content) {
  const std::string temporary = path + ".new";
  {
    std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
    file.write(content.data(), static_cast<std::streamsize>(content.size()));
    file.flush();
    if (!file)
      return MakeError(file_error::code::kUnwritable, path);
  }
  if (std::rename(temporary.c_str(), path.c_str()) != 0)
    return MakeError(file_error::code::kUnwritable, path);
  return {};
}

tl::expected<void, file_error> CreateFile(const std::string& path,
                                          std::string_view content,
                                          unsigned mode) {
  const int descriptor =
      open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
  if (descriptor < 0) {
    return MakeError(errno == EEXIST ? file_error::code::kExists
                                     : file_error::code::kUnwritable,
                     path);
  }
  const ssize_t written = write(descriptor, content.data(), content.size());
  const bool is_closed = close(descriptor) == 0;
  if (written != static_cast<ssize_t>(content.size()) || !is_closed)
    return MakeError(file_error::code::kUnwritable, path);
  return {};
}

std::string FormatSecretKey(const secret_key_file& key) {
  return key.id + " " + KeyToHex(key.secret) + "\n";
}

tl::expected<secret_key_file, file_error> ReadSecretKey(
    const std::string& path) {
  const tl::expected<std::string, file_error> content = ReadFile(path);
  if (!content)
    return tl::unexpected(content.error());
  const std::string_view line = Trim(*content);
  const std::size_t space = line.find(' ');
  if (space == std::string_view::npos)
    return MakeError(file_error::code::kMalformed, path);
  const std::string_view id = line.substr(0, space);
  const std::optional<bundle_secret_key> secret =
      ParseKey(line.substr(space + 1));
  if (!secret || !NameRule().accepts(id))
    return MakeError(file_error::code::kMalformed, path);
  return secret_key_file{std::string(id), *secret};
}

tl::expected<std::string, file_error> ReadToken(const std::string& path) {
  const tl::expected<std::string, file_error> content = ReadFile(path);
  if (!content)
    return tl::unexpected(content.error());
  const std::string_view token = Trim(*content);
  if (token.empty() || token.find_first_of("\r\n") != std::string_view::npos)
    return MakeError(file_error::code::kMalformed, path);
  return std::string(token);
}

}  // namespace papayakeel
