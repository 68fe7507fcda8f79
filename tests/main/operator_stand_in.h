// Fake operators' listener of a process, backed by a real bundle_service. It
// runs in its own thread.
#ifndef TESTS_MAIN_OPERATOR_STAND_IN_H_
#define TESTS_MAIN_OPERATOR_STAND_IN_H_

#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/monotonic_time.h"
#include "modules/http/http_listener.h"
#include "servers/bundles/bundle_service.h"

namespace papayakeel {

class operator_stand_in {
 public:
  static constexpr char kToken[] = "0123456789abcdef";

  explicit operator_stand_in(const process_settings& settings);
  ~operator_stand_in();

  // Returns the address of the listener. The system chooses the port.
  std::string address() const { return address_; }

  // Offers a bundle to the bundle_service after `delay`, which simulates a
  // bundle received from a peer.
  void OfferLater(std::string published, time_span delay);

 private:
  http_response Serve(const http_request& request);

  boost::asio::io_context context_{1};
  bundle_service bundles_;  // Accessed only from `thread_` while it runs.
  boost::asio::steady_timer timer_;
  std::unique_ptr<http_listener> listener_;
  std::string address_;
  std::thread thread_;
};

}  // namespace papayakeel

#endif  // TESTS_MAIN_OPERATOR_STAND_IN_H_
