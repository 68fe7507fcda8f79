// Registration of the services.
#include "tests/modules/state_feed/feed_process.h"

#include <memory>
#include <utility>

#include "drivers/event_loop.h"
#include "modules/state_feed/state_feed.h"
#include "modules/state_feed/state_relay.h"
#include "platform/platform_contracts.h"
#include "servers/discovery/endpoint_registry.h"
#include "servers/discovery/evacuated_zones.h"
#include "servers/membership/entry_directory.h"
#include "servers/routing/desired_state_store.h"

namespace papayakeel {

bool IsList(const std::string& target) {
  return !platform::MakeStoreContract().parse_request(target)->is_watch;
}

feed_process::feed_process() {
  registry_.Register(std::make_unique<event_loop>());
  loop_ = registry_.Find<event_loop>(event_loop::kName);
}

boost::asio::io_context& feed_process::context() {
  return loop_->context();
}

void feed_process::Start(const network_address& store,
                         const network_address& relay,
                         const member& self,
                         std::vector<network_address> seeds) {
  entry_settings settings;
  settings.vm_name = self.peer_address.ToString();
  settings.store = store;
  settings.relay_listen = relay;
  settings.peer_listen = self.peer_address;
  settings.peer_seeds = std::move(seeds);
  registry_.Register(std::make_unique<entry_directory>(self));
  registry_.Register(std::make_unique<desired_state_store>());
  registry_.Register(std::make_unique<endpoint_registry>());
  registry_.Register(std::make_unique<evacuated_zones>());
  registry_.Register(std::make_unique<state_relay>(
      registry_, settings, platform::MakeStoreContract()));
  registry_.Register(std::make_unique<state_feed>(
      registry_, settings, platform::MakeStoreContract(), [] { return 0; }));
  registry_.StartAll();
}

}  // namespace papayakeel
