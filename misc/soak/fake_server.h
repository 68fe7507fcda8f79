// A server process with two slots and a queue. What it records as run is what
// the invariants are judged by.
#ifndef MISC_SOAK_FAKE_SERVER_H_
#define MISC_SOAK_FAKE_SERVER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "misc/soak/soak_connection.h"
#include "misc/soak/wire.h"

namespace papayakeel::soak {

class soak_world;

class fake_server : public std::enable_shared_from_this<fake_server> {
 public:
  fake_server(soak_world& world,
              std::uint64_t id,
              std::string service,
              network_address address);

  std::uint64_t id() const { return id_; }
  const std::string& service() const { return service_; }
  const network_address& address() const { return address_; }

  bool is_listening() const { return is_listening_; }
  bool is_stopped() const { return is_stopped_; }
  std::optional<monotonic_time> leaving_since() const { return leaving_since_; }
  bool IsInFlight(std::uint64_t exchange) const {
    return jobs_.count(exchange) != 0;
  }

  void Accept(const connection_pointer& connection);
  void Receive(const connection_pointer& connection,
               std::uint64_t exchange,
               const wire_request& request);
  // The entry VM has given the request up; it may run all the same.
  void Cancel(std::uint64_t exchange);
  void Probe(const std::function<void(bool)>& done);

  void BeSlow(time_span length);
  void FailFast(time_span length);
  void BeCold(time_span length);
  // Takes no further work and stops once nothing is in flight, at the earliest
  // after `linger`; until then new requests are served if the listener is open.
  void Leave(time_span linger, bool closes_listener);
  // Breaks all its connections silently.
  void SilenceConnections();

 private:
  struct job {
    connection_pointer connection;
    wire_request request;
    bool is_running = false;
    bool is_cancelled = false;
    bool began_before_leaving = false;
  };

  void StartNext();
  void Finish(std::uint64_t exchange);
  void FailAtOnce(std::uint64_t exchange);
  void Answer(std::uint64_t exchange, const wire_answer& answer);
  void Write(const connection_pointer& connection, const wire_answer& answer);
  void StopWhenIdle();
  bool IsNow(monotonic_time until) const;

  soak_world& world_;
  const std::uint64_t id_;
  const std::string service_;
  const network_address address_;
  bool is_listening_ = true;
  bool is_stopped_ = false;
  std::optional<monotonic_time> leaving_since_;
  monotonic_time lingers_until_;
  monotonic_time slow_until_;
  monotonic_time fails_until_;
  monotonic_time cold_until_;
  int running_ = 0;
  std::map<std::uint64_t, job> jobs_;  // By exchange; not answered yet.
  std::deque<std::uint64_t> queue_;
  std::vector<std::weak_ptr<soak_connection>> connections_;
};

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_FAKE_SERVER_H_
