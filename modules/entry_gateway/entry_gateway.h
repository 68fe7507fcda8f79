// Listeners of an entry VM that follows a desired state: caller requests,
// address lookups by callers, and readiness checks by the platform.
#ifndef MODULES_ENTRY_GATEWAY_ENTRY_GATEWAY_H_
#define MODULES_ENTRY_GATEWAY_ENTRY_GATEWAY_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "core/random_source.h"
#include "core/service.h"
#include "core/service_registry.h"
#include "modules/entry_gateway/caller_contract.h"
#include "modules/entry_gateway/request_run.h"
#include "modules/entry_gateway/session_host.h"
#include "modules/http/http_listener.h"
#include "servers/routing/weighted_split.h"
#include "servers/settings/entry_settings.h"

namespace prometheus {
class Histogram;
template <typename>
class Family;
}  // namespace prometheus

namespace papayakeel {

class entry_directory;
class event_loop;
class metric_sink;
class desired_state_store;
class state_feed;

class entry_gateway : public service {
 public:
  static constexpr std::string_view kName = "entry_gateway";

  entry_gateway(service_registry& registry,
                const entry_settings& settings,
                caller_contract contract,
                random_source random);
  ~entry_gateway() override;

  std::string_view name() const override { return kName; }
  void Start() override;
  void Stop() override;
  nlohmann::json DumpState() const override;

  // Opens the three listeners. Returns the address of the first one that fails
  // to open.
  std::optional<network_address> Listen();

  // Returns true if a desired state and an endpoint listing are known and the
  // gateway is not draining.
  bool IsReady() const;

  // Fails readiness checks and closes each connection after its last pending
  // response, or after its next response if it is idle. Requests in flight are
  // completed; requests for which `may_pass_on` is false from now on are
  // refused as not run.
  void BeginDrain(std::function<bool(monotonic_time deadline)> may_pass_on);
  // Stops accepting connections and closes idle ones.
  void StopAccepting();
  // Answers all requests, also those at which endpoints are still working.
  // Returns how many there were.
  std::size_t AnswerAll();
  bool IsIdle() const;

 private:
  void Accept();
  void Handle(caller_request request);
  std::optional<request_plan> Plan(const caller_request& request,
                                   const route& matched,
                                   std::uint64_t version);
  void RespondImmediately(const caller_request& request,
                          http::status status,
                          std::string_view reason,
                          std::string detail,
                          std::optional<time_span> retry_after);
  // Logs and counts a request that is rejected without being scheduled.
  void RecordRefusal(const refused_request& refused);
  std::uint64_t ActiveStateVersion() const;
  http_response HandleAddressLookup(const http_request& request) const;
  std::vector<network_address> AddressesFor(
      const address_question& question) const;
  std::unique_ptr<http_listener> MakeListener(
      const network_address& address,
      std::function<http_response(const http_request&)> answer);
  // Requests in flight, which may end while the list is used.
  std::vector<std::shared_ptr<request_run>> Runs() const;
  // Ends the connection of the stalled caller that holds most answers. Returns
  // false if there is none.
  bool ReclaimAnswerMemory();
  void CollectMetrics(metric_sink& sink) const;

  service_registry& registry_;
  const entry_settings settings_;
  const caller_contract contract_;
  event_loop* loop_ = nullptr;
  desired_state_store* state_store_ = nullptr;
  state_feed* feed_ = nullptr;
  entry_directory* directory_ = nullptr;
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  std::unique_ptr<http_listener> readiness_listener_;
  std::unique_ptr<http_listener> lookup_listener_;
  session_host host_;
  request_services services_;
  weighted_split split_;
  std::unordered_set<caller_session*> sessions_;
  std::unordered_set<request_run*> runs_;  // Requests in flight.
  std::size_t body_bytes_ = 0;  // Of requests in flight or being read.
  std::map<std::string, std::uint64_t> outcome_counts_;
  // Requests rejected without being scheduled, by reason.
  std::map<std::string, std::uint64_t> refusal_counts_;
  // Callers whose connections were ended, by reason.
  std::map<std::string, std::uint64_t> lost_caller_counts_;
  prometheus::Family<prometheus::Histogram>* durations_ = nullptr;
  bool is_draining_ = false;
  bool is_stopped_ = false;
};

}  // namespace papayakeel

#endif  // MODULES_ENTRY_GATEWAY_ENTRY_GATEWAY_H_
