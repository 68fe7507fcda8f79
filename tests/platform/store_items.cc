// Items as the store encodes them.
#include "tests/platform/store_items.h"

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

namespace papayakeel::platform {

using nlohmann::json;

std::string MakeItem(const std::string& key, const std::string& value) {
  std::string text(boost::beast::detail::base64::encoded_size(value.size()),
                   '\0');
  text.resize(boost::beast::detail::base64::encode(text.data(), value.data(),
                                                   value.size()));
  return R"({"key":")" + key + R"(","value":")" + text + R"(","revision":2})";
}

std::string MakeEndpointItem(int index) {
  return MakeItem(MakeEndpointKey(index), MakeEndpointValue({index}));
}

std::string MakeEndpointKey(int index) {
  return "servers/i-" + std::to_string(index);
}

std::string MakeEndpointValue(const endpoint_report& report) {
  return json{
      {"address", "10.0.0.1:" + std::to_string(8000 + report.index)},
      {"born", report.started_unix_ms},
      {"info",
       {{"service", "s"}, {"version", "v"}, {"zone", "z"}, {"slots", 2}}},
      {"status",
       {{"state", report.is_leaving ? "draining" : "ready"},
        {"seq", report.sequence},
        {"warmup_left", "0ms"}}}}
      .dump();
}

std::string EvacuationKey(const std::string& zone) {
  return "op/evacuate/" + zone;
}

std::string DesiredStateKey() {
  return "op/config";
}

std::string MakeDesiredStateValue(int version,
                                  const std::vector<std::string>& prefixes) {
  json policy = json::array();
  for (const std::string& prefix : prefixes) {
    policy.push_back(
        {{"name", prefix},
         {"route_kind", "idempotent"},
         {"target_latency", "500ms"},
         {"priority", 1},
         {"match", {{"prefix", prefix}}},
         {"action",
          {{"service", "s"}, {"timeout", "4000ms"}, {"max_attempts", 3}}}});
  }
  return json{
      {"version", version},
      {"listeners", json::array({{{"host", "a.example"}, {"policy", policy}}})},
      {"clusters",
       json::array(
           {{{"name", "s"}, {"health_path", "/health"}, {"max_conns", 100}}})}}
      .dump();
}

}  // namespace papayakeel::platform
