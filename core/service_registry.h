// Owns the services of a process, looks them up by name, and starts and stops
// them in order.
#ifndef CORE_SERVICE_REGISTRY_H_
#define CORE_SERVICE_REGISTRY_H_

#include <memory>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include "core/service.h"

namespace papayakeel {

enum class registry_error_code {
  kDuplicateName,
  kAlreadyStarted,
};

class service_registry {
 public:
  service_registry() = default;
  ~service_registry();

  // Takes ownership of `new_service`. Fails when its name is already registered
  // or when the services are running.
  tl::expected<void, registry_error_code> Register(
      std::unique_ptr<service> new_service);

  // Returns the service called `name`, or nullptr when no such service exists
  // or it is not of type `service_type`.
  template <typename service_type>
  service_type* Find(std::string_view name) const {
    return dynamic_cast<service_type*>(FindService(name));
  }

  void StartAll();
  void StopAll();

  // Returns a JSON object with one member per service, keyed by name.
  nlohmann::json DumpState() const;

 private:
  service* FindService(std::string_view name) const;

  // In order of registration; names are unique.
  std::vector<std::unique_ptr<service>> services_;
  bool is_started_ = false;
};

}  // namespace papayakeel

#endif  // CORE_SERVICE_REGISTRY_H_
