// A stand-in for the platform's metadata store on the loopback, written from
// the published protocol. It can refuse calls, keep silent, and come back from
// an older copy of itself.
#ifndef TESTS_PLATFORM_STORE_STAND_IN_H_
#define TESTS_PLATFORM_STORE_STAND_IN_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "core/network_address.h"
#include "modules/http/http_listener.h"

namespace papayakeel::platform {

// What the store does with calls.
enum class store_fault {
  kNone,
  kRefuses,  // Answers 503.
  kSilent,   // Never answers.
};

struct store_item {
  std::string value;
  std::uint64_t revision = 0;
};

// The content of the store at one moment.
struct store_copy {
  std::uint64_t revision = 0;
  std::map<std::string, store_item> items;  // By key.
  std::vector<nlohmann::json> events;       // Oldest first.
};

// All calls must come from the thread that runs the context.
class store_stand_in {
 public:
  // Called with the target of each request, before it is answered.
  using call_hook = std::function<void(const std::string& target)>;
  // Returns what the store does with a call to the address `host` (with port).
  using fault_hook = std::function<store_fault(const std::string& host)>;

  // `host` is the address to listen at. With 0.0.0.0, each process can call the
  // store at an address of its own, and `SetFaultHook` tells them apart.
  explicit store_stand_in(boost::asio::io_context& context,
                          const std::string& host = "127.0.0.1");

  network_address address() const { return listener_->local_address(); }
  std::uint64_t revision() const { return content_.revision; }
  std::uint64_t era() const { return era_; }
  std::size_t waiting_watches() const { return watches_.size(); }

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  void SetFault(store_fault fault);
  // Takes the place of `SetFault`, for faults that not all callers see.
  void SetFaultHook(fault_hook hook);
  // How much later than usual the store answers.
  void SetDelay(std::chrono::milliseconds delay) { delay_ = delay; }
  // The number of items of a listing's page.
  void SetPageSize(std::size_t items) { page_size_ = items; }
  void SetCallHook(call_hook hook) { call_hook_ = std::move(hook); }

  store_copy Copy() const { return content_; }
  // Brings an older copy back and raises the era. Watches that wait beyond the
  // copy's revision get 410.
  void Restore(const store_copy& copy);
  // Closes the listener and all connections, and opens it again at the same
  // address.
  void CutConnections();

 private:
  struct waiting_watch {
    std::uint64_t after = 0;
    http_exchange exchange;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  void Listen(const network_address& address);
  void Handle(http_exchange exchange);
  void AnswerListing(const http_exchange& exchange, const std::string& target);
  void HandleWatch(http_exchange exchange, const std::string& target);
  void AnswerWatch(std::uint64_t number);
  void AnswerChangedWatches();
  store_fault FaultOf(const http_exchange& exchange) const;
  // Handles the watches that wait like new calls.
  void HandleWatchesAgain();
  void Respond(const http_exchange& exchange,
               http::status status,
               const std::string& body) const;

  boost::asio::io_context& context_;
  store_fault fault_ = store_fault::kNone;
  std::uint64_t era_ = 1;
  store_copy content_;
  std::size_t page_size_ = 500;
  call_hook call_hook_;
  fault_hook fault_hook_;
  std::chrono::milliseconds delay_{0};
  // By watch number, because the handler of an expired timer can run after its
  // watch was answered and erased.
  std::map<std::uint64_t, waiting_watch> watches_;
  std::uint64_t next_watch_ = 1;
  std::vector<http_exchange> silenced_;  // Calls that get no answer.
  // Expires with the store, because the handler of an expired timer can also
  // run after the store was destroyed.
  std::shared_ptr<const bool> lifetime_ = std::make_shared<const bool>(true);
  std::unique_ptr<http_listener> listener_;
};

}  // namespace papayakeel::platform

#endif  // TESTS_PLATFORM_STORE_STAND_IN_H_
