// Read-only client for the platform. Reads the bundle from the configuration
// service (long poll with ETag) and the list of VMs.
#ifndef MODULES_PLATFORM_CLIENT_PLATFORM_CLIENT_H_
#define MODULES_PLATFORM_CLIENT_PLATFORM_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

#include "core/random_source.h"
#include "core/service.h"
#include "core/service_registry.h"
#include "modules/http/http_fetch.h"
#include "servers/membership/vm_record.h"
#include "servers/settings/process_settings.h"

namespace papayakeel {

class bundle_service;
class entry_directory;
class event_loop;

class platform_client : public service {
 public:
  static constexpr std::string_view kName = "platform_client";

  platform_client(service_registry& registry,
                  process_settings settings,
                  random_source random);

  std::string_view name() const override { return kName; }
  void Start() override;
  void Stop() override;
  nlohmann::json DumpState() const override;

  // Time of the last valid response from the configuration service, or nullopt
  // if there was none.
  std::optional<monotonic_time> last_configuration_answer() const {
    return last_configuration_response_;
  }
  std::uint64_t calls_total() const { return calls_total_; }
  std::uint64_t failures_total() const { return failures_total_; }

  // Time at which the list of VMs was last read successfully, or nullopt if it
  // never was.
  std::optional<monotonic_time> last_vm_list_answer() const {
    return last_vm_list_response_;
  }

 private:
  void LongPollBundle();
  void OnBundle(tl::expected<http_response, fetch_error_code> response);
  void ReadVmList();
  void OnVmList(tl::expected<http_response, fetch_error_code> response);
  // Multiplies `wait` by a random factor from 0.75 to 1.25. The jitter prevents
  // processes that started together from sending requests in sync.
  time_span WithJitter(time_span wait) const;
  time_span NextRetryBackoff();

  service_registry& registry_;
  const process_settings settings_;
  random_source random_;
  event_loop* loop_ = nullptr;
  bundle_service* bundles_ = nullptr;
  entry_directory* directory_ = nullptr;
  std::optional<boost::asio::steady_timer> bundle_timer_;
  std::optional<boost::asio::steady_timer> vm_list_timer_;
  std::string bundle_etag_;  // ETag of the last response with a value.
  unsigned consecutive_bundle_failures_ = 0;
  std::uint64_t calls_total_ = 0;
  std::uint64_t failures_total_ = 0;
  std::optional<monotonic_time> last_configuration_response_;
  std::optional<monotonic_time> last_vm_list_response_;
  bool is_stopped_ = false;
};

// Registers the platform client.
void RegisterPlatformClientModule(service_registry& registry,
                                  const process_settings& settings,
                                  random_source random);

}  // namespace papayakeel

#endif  // MODULES_PLATFORM_CLIENT_PLATFORM_CLIENT_H_
