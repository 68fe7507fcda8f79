// Configuration service and VM list with switches for their faults.
#ifndef MISC_STAND_INS_PLATFORM_PLATFORM_STAND_IN_H_
#define MISC_STAND_INS_PLATFORM_PLATFORM_STAND_IN_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "modules/http/http_listener.h"

namespace papayakeel {

class platform_stand_in {
 public:
  platform_stand_in(boost::asio::io_context& context, network_address listen);

  bool Listen();

 private:
  struct watch {
    std::string key;
    std::string tag;
    http_exchange exchange;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  void Handle(http_exchange exchange);
  void HandleValue(http_exchange exchange, const std::string& key);
  void HandleAdmin(const http_exchange& exchange, const std::string& path);
  void Publish(const std::string& value);
  void PublishToOne(const std::string& value);
  void EndWatches();
  http_response MakeValue() const;
  bool TakeCall();

  boost::asio::io_context& context_;
  http_listener listener_;
  std::vector<std::string> values_;  // Every value published, oldest first.
  std::size_t shown_ = 0;            // How many of them readers see.
  std::string vm_list_ = "{\"vms\": []}";
  std::uint64_t calls_total_ = 0;
  std::uint64_t refused_total_ = 0;
  std::uint64_t most_calls_in_a_second_ = 0;
  std::uint64_t calls_this_second_ = 0;
  monotonic_time second_start_;
  bool is_down_ = false;
  std::list<watch> watches_;
};

}  // namespace papayakeel

#endif  // MISC_STAND_INS_PLATFORM_PLATFORM_STAND_IN_H_
