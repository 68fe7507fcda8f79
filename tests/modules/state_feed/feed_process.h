// The services of an entry VM that are needed to read the store, for tests.
#ifndef TESTS_MODULES_STATE_FEED_FEED_PROCESS_H_
#define TESTS_MODULES_STATE_FEED_FEED_PROCESS_H_

#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/network_address.h"
#include "core/service_registry.h"
#include "servers/membership/member.h"

namespace papayakeel {

class event_loop;

// Whether `target` is that of a call to the store for a listing.
bool IsList(const std::string& target);

class feed_process {
 public:
  feed_process();

  boost::asio::io_context& context();

  // Starts the services of the VM `self`, which reads from `store` or, in a
  // large fleet, from relays at the port of `relay`. `seeds` are peer
  // addresses.
  void Start(const network_address& store,
             const network_address& relay = {"127.0.0.1", 0},
             const member& self = member{},
             std::vector<network_address> seeds = {});
  void Stop() { registry_.StopAll(); }

  template <typename service_type>
  service_type* Find() const {
    return registry_.Find<service_type>(service_type::kName);
  }

 private:
  service_registry registry_;
  event_loop* loop_ = nullptr;
};

}  // namespace papayakeel

#endif  // TESTS_MODULES_STATE_FEED_FEED_PROCESS_H_
