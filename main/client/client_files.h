// Reading and writing of the files that papayakeelctl commands use.
#ifndef MAIN_CLIENT_CLIENT_FILES_H_
#define MAIN_CLIENT_CLIENT_FILES_H_

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "servers/bundles/bundle_key.h"

namespace papayakeel {

// Failure of a file operation.
struct file_error {
  enum class code {
    kUnreadable,
    kUnwritable,
    kExists,     // The key file to create exists already.
    kMalformed,  // The content does not have the expected format.
  };
  code reason = code::kUnreadable;
  std::string path;

  // Returns an error message with the path.
  std::string ToString() const;
};

struct secret_key_file {
  std::string id;
  bundle_secret_key secret{};
};

tl::expected<std::string, file_error> ReadFile(const std::string& path);

// Replaces `path` atomically: writes a temporary file and renames it.
tl::expected<void, file_error> ReplaceFile(const std::string& path,
                                           std::string_view content);

// Creates a file with permissions `mode`. Fails if the file exists.
tl::expected<void, file_error> CreateFile(const std::string& path,
                                          std::string_view content,
                                          unsigned mode);

// A secret key file has one line: the key id, a space and 64 hexadecimal
// digits.
std::string FormatSecretKey(const secret_key_file& key);
tl::expected<secret_key_file, file_error> ReadSecretKey(
    const std::string& path);

// Reads a one-line token file and trims leading and trailing whitespace.
tl::expected<std::string, file_error> ReadToken(const std::string& path);

}  // namespace papayakeel

#endif  // MAIN_CLIENT_CLIENT_FILES_H_
