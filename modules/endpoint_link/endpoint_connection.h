// One TCP connection to an endpoint. A connection carries one exchange at a
// time and is kept only when the exchange ended cleanly: the whole request was
// written, the whole answer was read, and no bytes follow the answer. An
// endpoint may write an earlier refusal once more where the next answer is
// expected, so a refusal counts only if no earlier refusal on the connection
// can be mistaken for it. What an exchange reads is bounded: the answer by the
// memory for answers, the answers to other exchanges before it by their number.
#ifndef MODULES_ENDPOINT_LINK_ENDPOINT_CONNECTION_H_
#define MODULES_ENDPOINT_LINK_ENDPOINT_CONNECTION_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "drivers/connection_watch.h"
#include "modules/endpoint_link/endpoint_exchange.h"
#include "modules/entry_gateway/caller_contract.h"
#include "modules/http/answer_reader.h"

namespace papayakeel {
namespace detail {

class endpoint_connection
    : public std::enable_shared_from_this<endpoint_connection> {
 public:
  endpoint_connection(boost::asio::io_context& context,
                      const caller_contract& contract,
                      std::shared_ptr<answer_memory> memory,
                      endpoint_leaving_hook on_leaving);

  // Runs one exchange. `done` is called asynchronously and exactly once, unless
  // `Abandon` is called first.
  void Run(endpoint_exchange exchange, endpoint_callback done);

  // Drops the exchange without calling `done` and closes the connection, which
  // signals the cancellation to the endpoint.
  void Abandon();
  void Close();

  // Whether the connection is idle and fit for another exchange.
  bool IsReusable(monotonic_time now);
  // Whether no earlier refusal on this connection bears `request_id`.
  bool MayCarry(std::string_view request_id) const;
  bool has_sent() const { return has_sent_; }
  bool has_carried_exchange() const { return has_carried_exchange_; }

 private:
  void Write();
  void Read();
  void ReadSome(const boost::asio::mutable_buffer& buffer);
  // Tells the reader that a write which has not ended will fail, or has failed
  // without its handler having been called yet.
  void CheckUnfinishedWrite();
  void OnState(answer_state state);
  // Records the start of the answer's body, and notifies of a long transfer.
  void WatchTransfer(bool is_complete);
  void HandleAnswer();
  // Reads on after an answer that is not the one to this exchange.
  void Skip();
  // Ends the exchange, once the caller has returned, because its answer has
  // given way to others.
  void EndLaterForMemory();
  // Ends the exchange for an answer of which nothing is used.
  void Discard(std::string detail);
  void Finish(attempt_outcome outcome, std::string detail);
  bool IsRefusal() const;
  // Whether the answer is the endpoint's own and announces that it leaves.
  bool AnnouncesLeaving() const;
  bool IsForOtherExchange() const;
  attempt_outcome Classify() const;
  void RememberRefusal();
  void UpdateIdleDeadline(const answer_reader::message& answer);

  const caller_contract& contract_;
  boost::beast::tcp_stream stream_;
  connection_watch watch_;
  boost::asio::steady_timer deadline_timer_;
  answer_reader reader_;
  const std::shared_ptr<answer_memory> memory_;
  std::shared_ptr<answer_share> share_;  // Of the answer in `reader_`.
  const endpoint_leaving_hook on_leaving_;
  // When a part of the body of the answer in `reader_` first arrived.
  std::optional<monotonic_time> transfer_started_at_;
  bool has_notified_transfer_ = false;
  int skipped_ = 0;  // Answers to other exchanges, and interim answers.
  endpoint_exchange exchange_;
  endpoint_callback done_;  // Set while an exchange runs.
  bool is_open_ = false;
  bool is_clean_ = false;
  bool is_writing_ = false;  // The write has not ended, or has failed.
  bool has_sent_ = false;    // A part of the request may be sent.
  bool has_timed_out_ = false;
  bool has_carried_exchange_ = false;
  // Hashes of the ids in the refusals that were read on this connection. Two
  // ids of the same hash only cost a new connection.
  std::unordered_set<std::size_t> refused_ids_;
  // A refusal without an id was read: a repetition of it would be taken for the
  // answer to any later request.
  bool has_anonymous_refusal_ = false;
  // The idle connection is not reused from this time on, because the endpoint
  // may close it.
  monotonic_time idle_deadline_;
};

}  // namespace detail
}  // namespace papayakeel

#endif  // MODULES_ENDPOINT_LINK_ENDPOINT_CONNECTION_H_
