// What callers, entry VMs and servers of the soak send each other.
#ifndef MISC_SOAK_WIRE_H_
#define MISC_SOAK_WIRE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace papayakeel::soak {

struct wire_request {
  // One number for all sendings with one key, or for one sending without key.
  std::uint64_t subject = 0;
  std::uint64_t content = 0;  // What the caller wants; decides the answer.
  std::string service;
  std::string method;
  std::string target;
  bool is_once_only = false;
  std::string key;  // Empty without one.
  unsigned attempt = 1;
};

// Body of the complete answer to a request.
inline std::string AnswerBody(std::uint64_t content) {
  return "answer to " + std::to_string(content) + ", complete";
}

struct wire_answer {
  std::uint64_t exchange = 0;  // Echo of the request's id.
  std::string body;
  bool is_complete = true;
  bool is_not_run = false;  // A status that means "not run".
  bool is_server_error = false;
  bool is_leaving = false;
};

enum class reply_kind {
  kAnswered,
  kNotRun,
  kUnknown,
  kRedirect,
};

struct wire_reply {
  reply_kind kind = reply_kind::kUnknown;
  std::string body;          // Only for kAnswered.
  std::size_t entry_vm = 0;  // Only for kRedirect.
  bool needs_new_key = false;
};

using reply_function = std::function<void(const wire_reply&)>;

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_WIRE_H_
