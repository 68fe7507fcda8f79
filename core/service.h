// Base class of the components of a process. The registry starts services in
// the order of registration and stops them in reverse order.
#ifndef CORE_SERVICE_H_
#define CORE_SERVICE_H_

#include <string_view>

#include <nlohmann/json.hpp>

namespace papayakeel {

class service {
 public:
  service() = default;
  service(const service&) = delete;
  service& operator=(const service&) = delete;
  virtual ~service() = default;

  // Returns the unique name under which the registry finds this service.
  virtual std::string_view name() const = 0;

  // Called once, after every service has been registered.
  virtual void Start() {}

  // Called once, in reverse order of `Start`.
  virtual void Stop() {}

  // Returns the state that operators can request. It must not contain secrets.
  virtual nlohmann::json DumpState() const { return nlohmann::json::object(); }
};

}  // namespace papayakeel

#endif  // CORE_SERVICE_H_
