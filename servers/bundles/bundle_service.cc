// State dump and change notification of the bundle in force.
#include "servers/bundles/bundle_service.h"

#include <utility>

namespace papayakeel {

bundle_service::bundle_service(const process_settings& settings)
    : trust_(MakeBundleTrust(settings)), store_(trust_) {}

nlohmann::json bundle_service::DumpState() const {
  const bool has_bundle = current() != nullptr;
  nlohmann::json state = {
      {"version", has_bundle ? current()->version : 0},
      {"content_hash", has_bundle ? ToHex(store_.content_hash()) : ""},
      {"key_id", store_.key_id()},
      {"deployment", trust_.deployment},
      {"minimum_version", trust_.minimum_version},
      {"trusted_keys", nlohmann::json::array()},
      {"refusals", nlohmann::json::object()},
      {"conflicts", {{"count", store_.conflicts()}}}};
  for (const auto& [id, key] : trust_.keys)
    state["trusted_keys"].push_back(id);
  for (const auto& [code, count] : store_.refusals())
    state["refusals"][ToString(code)] = count;
  const std::optional<bundle_conflict>& last = store_.last_conflict();
  if (last) {
    state["conflicts"]["last"] = {{"version", last->version},
                                  {"content_hash", last->content_hash},
                                  {"key_id", last->key_id}};
  }
  return state;
}

tl::expected<bool, bundle_error> bundle_service::Offer(
    std::string_view published) {
  tl::expected<bool, bundle_error> offered = store_.Offer(published);
  if (!offered || !*offered)
    return offered;
  // Iterates over a copy because a listener may call Subscribe.
  const std::vector<std::function<void(const bundle_pointer&)>> listeners =
      listeners_;
  const bundle_pointer accepted = current();
  for (const std::function<void(const bundle_pointer&)>& listener : listeners)
    listener(accepted);
  return offered;
}

void bundle_service::Subscribe(
    std::function<void(const bundle_pointer&)> listener) {
  listeners_.push_back(std::move(listener));
}

}  // namespace papayakeel
