// Sending of requests to operators' listeners.
#include "main/client/process_list.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "main/client/client_files.h"
#include "servers/settings/text_rule.h"

namespace papayakeel {

namespace {

// The /state reply of a process with 150 services is several megabytes.
constexpr std::size_t kMaxReplyBytes = 64 << 20;

constexpr std::uint64_t kMaxTimeoutMs = 24 * 3600 * 1000;

process_reply MakeReply(
    const network_address& address,
    const tl::expected<http_response, fetch_error_code>& response) {
  process_reply reply;
  reply.address = address;
  if (!response) {
    reply.unreachable = ToString(response.error());
    return reply;
  }
  reply.status = static_cast<int>(response->result_int());
  reply.body = nlohmann::json::parse(response->body(), nullptr,
                                     /*allow_exceptions=*/false);
  if (reply.body.is_discarded()) {
    reply.body = nullptr;
    reply.text = response->body().substr(0, response->body().find('\n'));
  }
  return reply;
}

}  // namespace

std::string process_reply::Describe() const {
  if (status == 0)
    return "unreachable: " + unreachable;
  std::string detail = text;
  if (body.is_object() && body.contains("code"))
    detail = ToCell(body["code"]);
  if (body.is_object() && body.contains("detail"))
    detail += (detail.empty() ? "" : ": ") + ToCell(body["detail"]);
  return "status " + std::to_string(status) +
         (detail.empty() ? "" : ": " + detail);
}

nlohmann::json process_reply::ErrorToJson() const {
  if (status == 0)
    return {{"address", address.ToString()}, {"unreachable", unreachable}};
  return {{"address", address.ToString()},
          {"status", status},
          {"answer", body.is_null() ? nlohmann::json(text) : body}};
}

void process_list::AddOptions(command_line& line) {
  line.AddList("address", &address_texts_,
               "Operators' listener of a process; repeatable, and further "
               "addresses may follow as arguments",
               "IP:PORT");
  line.AddText("token-file", &token_file_, "File with the operators' token",
               "FILE", true);
  line.AddNumber("timeout-ms", &timeout_ms_, 1, kMaxTimeoutMs,
                 "Time limit in milliseconds, default 5000", false);
}

std::optional<int> process_list::Read(const command_line& line,
                                      std::size_t first_operand,
                                      const client_output& output) {
  std::vector<std::string> texts = address_texts_;
  for (std::size_t i = first_operand; i < line.operands().size(); ++i)
    texts.push_back(line.operands()[i]);
  if (texts.empty())
    return output.FailUsage("--address is required");
  for (const std::string& text : texts) {
    const tl::expected<network_address, address_error_code> address =
        network_address::Parse(text);
    if (!address || !IsIpAddress(address->host)) {
      return output.FailUsage("--address: found " + Quote(text) +
                              ", allowed: IP:PORT");
    }
    const bool is_duplicate = std::find(addresses_.begin(), addresses_.end(),
                                        *address) != addresses_.end();
    if (is_duplicate)
      return output.FailUsage("--address: found " + Quote(text) + " twice");
    addresses_.push_back(*address);
  }
  tl::expected<std::string, file_error> token = ReadToken(token_file_);
  if (!token)
    return output.FailUsage(token.error().ToString());
  token_ = std::move(*token);
  return std::nullopt;
}

std::vector<process_reply> process_list::SendToAll(
    http::verb method,
    const std::string& target,
    const std::string& body) const {
  boost::asio::io_context context(1);
  std::vector<process_reply> replies(addresses_.size());
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    Send(context, addresses_[i], method, target, body, timeout(),
         [&replies, i](process_reply reply) { replies[i] = std::move(reply); });
  }
  context.run();
  return replies;
}

void process_list::Send(boost::asio::io_context& context,
                        const network_address& address,
                        http::verb method,
                        const std::string& target,
                        const std::string& body,
                        time_span timeout,
                        std::function<void(process_reply)> done) const {
  fetch_request fetch;
  fetch.server = address;
  fetch.timeout = timeout;
  fetch.max_answer_bytes = kMaxReplyBytes;
  fetch.request.method(method);
  fetch.request.target(target);
  fetch.request.version(11);
  fetch.request.set(http::field::authorization, "Bearer " + token_);
  fetch.request.body() = body;
  Fetch(context, std::move(fetch),
        [address, done = std::move(done)](
            const tl::expected<http_response, fetch_error_code>& response) {
          done(MakeReply(address, response));
        });
}

}  // namespace papayakeel
