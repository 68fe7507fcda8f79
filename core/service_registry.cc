// Registration, lookup, and ordered start and stop of services.
#include "core/service_registry.h"

#include <string>
#include <utility>

namespace papayakeel {

service_registry::~service_registry() {
  StopAll();
  // Destroys the services in reverse order of registration, because a service
  // may hold timers of the event loop, which is registered first.
  while (!services_.empty())
    services_.pop_back();
}

tl::expected<void, registry_error_code> service_registry::Register(
    std::unique_ptr<service> new_service) {
  if (is_started_)
    return tl::unexpected(registry_error_code::kAlreadyStarted);
  if (FindService(new_service->name()) != nullptr)
    return tl::unexpected(registry_error_code::kDuplicateName);
  services_.push_back(std::move(new_service));
  return {};
}

void service_registry::StartAll() {
  if (is_started_)
    return;
  is_started_ = true;
  for (const std::unique_ptr<service>& each : services_)
    each->Start();
}

void service_registry::StopAll() {
  if (!is_started_)
    return;
  is_started_ = false;
  for (auto each = services_.rbegin(); each != services_.rend(); ++each)
    (*each)->Stop();
}

nlohmann::json service_registry::DumpState() const {
  nlohmann::json dump = nlohmann::json::object();
  for (const std::unique_ptr<service>& each : services_)
    dump[std::string(each->name())] = each->DumpState();
  return dump;
}

service* service_registry::FindService(std::string_view name) const {
  for (const std::unique_ptr<service>& each : services_) {
    if (each->name() == name)
      return each.get();
  }
  return nullptr;
}

}  // namespace papayakeel
