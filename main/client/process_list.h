// The processes to which a papayakeelctl command sends requests, concurrently,
// on their operators' listeners.
#ifndef MAIN_CLIENT_PROCESS_LIST_H_
#define MAIN_CLIENT_PROCESS_LIST_H_

#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "main/client/client_output.h"
#include "main/client/command_line.h"
#include "modules/http/http_fetch.h"

namespace papayakeel {

// The reply of one process, or the error when there was none.
// clang-tidy mistakes an assertion in the noexcept move constructor of
// nlohmann::json for an exception.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct process_reply {
  network_address address;
  int status = 0;           // HTTP status; 0 when there was no reply.
  nlohmann::json body;      // Null when the body is not JSON.
  std::string text;         // First line of a body that is not JSON.
  std::string unreachable;  // Name of the error when there was no reply.

  bool is_ok() const { return status == 200 && !body.is_null(); }

  // Returns a readable reason why `is_ok` is false.
  std::string Describe() const;

  // Returns {"address", "unreachable"} or {"address", "status", "answer"}.
  nlohmann::json ErrorToJson() const;
};

class process_list {
 public:
  // Adds --address, --token-file and --timeout-ms to `line`. This object must
  // stay valid until `line.Parse` returns.
  void AddOptions(command_line& line);

  // Reads the addresses and the token after `line.Parse`. Operands from index
  // `first_operand` on are further addresses. On an error, prints a message
  // and returns the exit status.
  std::optional<int> Read(const command_line& line,
                          std::size_t first_operand,
                          const client_output& output);

  // Sends the same request to every process and waits for all replies, which
  // are returned in the order of the addresses.
  std::vector<process_reply> SendToAll(http::verb method,
                                       const std::string& target,
                                       const std::string& body) const;

  // Sends a request to one process. Calls `done` exactly once, asynchronously.
  void Send(boost::asio::io_context& context,
            const network_address& address,
            http::verb method,
            const std::string& target,
            const std::string& body,
            time_span timeout,
            std::function<void(process_reply)> done) const;

  const std::vector<network_address>& addresses() const { return addresses_; }
  time_span timeout() const { return std::chrono::milliseconds(timeout_ms_); }

 private:
  std::vector<std::string> address_texts_;
  std::string token_file_;
  std::uint64_t timeout_ms_ = 5000;
  std::vector<network_address> addresses_;
  std::string token_;
};

}  // namespace papayakeel

#endif  // MAIN_CLIENT_PROCESS_LIST_H_
