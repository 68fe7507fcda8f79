// Measurement of servers/bundles at several numbers of services.
#include "misc/measure/bundle_section.h"

#include <map>
#include <string>
#include <utility>

#include "misc/measure/linear_fit.h"
#include "misc/measure/processor_time.h"
#include "servers/bundles/bundle_content.h"
#include "servers/bundles/bundle_envelope.h"
#include "servers/bundles/bundle_parser.h"
#include "servers/bundles/bundle_store.h"

namespace papayakeel::measure {

namespace {

// Endpoints per service in two years: 3,900 in 150 services.
constexpr int kEndpoints = 26;

// Endpoints are written into the bundle, which is its largest form.
std::string MakeToml(int services) {
  std::string text = "deployment = \"measured\"\nversion = 1\n";
  for (int service = 0; service < services; ++service) {
    text += "[[service]]\nname = \"service-" + std::to_string(service) +
            "\"\nendpoints = [";
    for (int endpoint = 0; endpoint < kEndpoints; ++endpoint) {
      text += "\"10.1." + std::to_string(service) + "." +
              std::to_string(endpoint + 100) + ":8080\", ";
    }
    text +=
        "]\n[service.zone_weights]\nzone-1 = 1.5\nzone-2 = 1\n"
        "[[service.class]]\nname = \"book\"\nmethods = [\"POST\"]\n"
        "path_prefix = \"/bookings\"\nonce_only = true\n"
        "not_run_statuses = [503]\n"
        "[[service.class]]\nname = \"read\"\nmethods = [\"GET\", \"HEAD\"]\n";
  }
  return text;
}

using point_list = std::vector<std::pair<double, double>>;

std::vector<measurement> Measure() {
  std::vector<measurement> measured;
  std::map<std::string, point_list> points;
  bundle_secret_key secret{};
  secret.fill(1);
  bundle_trust trust;
  trust.deployment = "measured";
  trust.keys["key"] = DerivePublicKey(secret);
  for (const int services : {3, 15, 50, 150}) {
    const auto add = [&](const std::string& name, double value,
                         const std::string& unit) {
      measured.push_back({name,
                          {{"services", services}, {"endpoints", kEndpoints}},
                          value,
                          unit});
      points[name].emplace_back(services, value);
    };
    const std::string toml_text = MakeToml(services);
    const tl::expected<bundle, std::vector<bundle_error>> checked =
        ParseBundle(toml_text);
    if (!checked)
      return {};
    const bundle_envelope envelope = *SignBundle(*checked, "key", secret);
    const std::string published = envelope.Encode();
    add("bundle_signed_size", static_cast<double>(published.size()), "bytes");
    add("bundle_check", MeasureMicroseconds([&] { ParseBundle(toml_text); }),
        "us");
    add("bundle_sign",
        MeasureMicroseconds([&] { SignBundle(*checked, "key", secret); }),
        "us");
    add("bundle_verify", MeasureMicroseconds([&] {
          bundle_envelope::Decode(published)->IsSignedBy(trust.keys["key"]);
        }),
        "us");
    add("bundle_parse_content",
        MeasureMicroseconds([&] { ParseBundleContent(envelope.content); }),
        "us");
    // Everything that an entry VM does with a new bundle before it is in force.
    add("bundle_accept", MeasureMicroseconds([&] {
          bundle_store store(trust);
          store.Offer(published);
        }),
        "us");
    bundle_store store(trust);
    store.Offer(published);
    add("bundle_repeat", MeasureMicroseconds([&] { store.Offer(published); }),
        "us");
  }
  for (const auto& [name, list] : points) {
    measured.push_back({name + "_per_service",
                        {{"endpoints", kEndpoints}},
                        linear_fit::Of(list).slope,
                        name == "bundle_signed_size" ? "bytes per service"
                                                     : "us per service"});
  }
  return measured;
}

}  // namespace

void RegisterBundleSection(section_registry& registry) {
  registry.Register("bundle", Measure);
}

}  // namespace papayakeel::measure
