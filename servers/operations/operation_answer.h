// Complete response of a backend server to an operation, stored for replay to
// retries of the request.
#ifndef SERVERS_OPERATIONS_OPERATION_ANSWER_H_
#define SERVERS_OPERATIONS_OPERATION_ANSWER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace papayakeel {

struct operation_answer {
  int status = 0;  // HTTP status code.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Returns the total size of header names, header values and body.
  std::size_t SizeInBytes() const {
    std::size_t bytes = body.size();
    for (const auto& [name, value] : headers)
      bytes += name.size() + value.size();
    return bytes;
  }
};

using operation_answer_pointer = std::shared_ptr<const operation_answer>;

}  // namespace papayakeel

#endif  // SERVERS_OPERATIONS_OPERATION_ANSWER_H_
