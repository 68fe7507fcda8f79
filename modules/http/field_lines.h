// Checks the lines of a header or trailer section as they were sent. Beast's
// parser joins folded lines and accepts some bytes that are not allowed in
// field names and values.
#ifndef MODULES_HTTP_FIELD_LINES_H_
#define MODULES_HTTP_FIELD_LINES_H_

#include <cstddef>
#include <string_view>

namespace papayakeel {

class field_lines {
 public:
  enum class state {
    kIncomplete,  // More bytes are needed.
    kComplete,
    kMalformed,
  };

  // `has_start_line`: whether a status line precedes the fields.
  explicit field_lines(bool has_start_line);

  // Checks the lines of `section` that have not been checked yet. `section`
  // starts with the first line, and with the same bytes in each call; bytes may
  // follow the section.
  state Check(std::string_view section);

  // Size of the section with the empty line that ends it. Only when complete.
  std::size_t size() const { return line_start_; }
  // The cause of kMalformed.
  const char* error() const { return error_; }

 private:
  std::size_t line_start_ = 0;  // Of the first line that is not checked.
  std::size_t searched_ = 0;    // Bytes that have been searched for a LF.
  bool is_start_line_;          // Whether the next line is the status line.
  state state_ = state::kIncomplete;
  const char* error_ = "";
};

}  // namespace papayakeel

#endif  // MODULES_HTTP_FIELD_LINES_H_
