// Metric collectors for the control plane.
#include "modules/metrics/control_metrics.h"

#include <cstdint>
#include <map>

#include "core/service_registry.h"
#include "modules/metrics/metrics_service.h"
#include "modules/operation_runner/operation_runner.h"
#include "modules/peer_link/peer_link.h"
#include "modules/platform_client/platform_client.h"
#include "modules/readiness/readiness_service.h"
#include "modules/server_link/server_link.h"
#include "servers/bundles/bundle_service.h"
#include "servers/membership/entry_directory.h"

namespace papayakeel {

namespace {

void CollectBundles(const bundle_service& bundles, metric_sink& sink) {
  const double version =
      bundles.current() ? static_cast<double>(bundles.current()->version) : 0;
  sink.Gauge("papayakeel_bundle_version", "Version of the bundle in force", {},
             version);
  for (const auto& [code, count] : bundles.store().refusals()) {
    sink.Counter("papayakeel_bundle_refusals_total",
                 "Bundles not accepted, by reason", {{"code", ToString(code)}},
                 static_cast<double>(count));
  }
  sink.Counter("papayakeel_bundle_conflicts_total",
               "Other bundles seen with the version in force", {},
               static_cast<double>(bundles.store().conflicts()));
}

void CollectMembers(const entry_directory& directory, metric_sink& sink) {
  std::map<member_state, int> counts = {{member_state::kAlive, 0},
                                        {member_state::kSuspect, 0},
                                        {member_state::kLeaving, 0}};
  for (const member& each : directory.members())
    ++counts[each.state];
  for (const auto& [state, count] : counts) {
    sink.Gauge("papayakeel_members", "Known entry VMs, by state",
               {{"state", ToString(state)}}, count);
  }
}

void CollectPeers(const peer_link& peers, metric_sink& sink) {
  const auto count = [&sink](const char* metric, const char* help,
                             std::uint64_t value) {
    sink.Counter(metric, help, {}, static_cast<double>(value));
  };
  const peer_transport_counters& transport = peers.transport_counters();
  count("papayakeel_peer_sent_bytes_total", "Bytes sent to peers",
        transport.bytes_sent);
  count("papayakeel_peer_received_bytes_total", "Bytes received from peers",
        transport.bytes_received);
  count("papayakeel_peer_sent_messages_total", "Messages sent to peers",
        transport.messages_sent);
  count("papayakeel_peer_refused_handshakes_total",
        "Peers that did not know the fleet key", transport.handshakes_refused);
  count("papayakeel_peer_refused_messages_total",
        "Messages altered, repeated, unknown or malformed",
        transport.seals_refused + transport.messages_refused);
  count("papayakeel_peer_silent_connections_total",
        "Peer connections closed for missing answers",
        transport.connections_silent);
  const gossip_counters& gossip = peers.protocol_counters();
  count("papayakeel_member_suspicions_total", "Members found suspect",
        gossip.suspicions);
  count("papayakeel_member_deaths_total", "Members declared dead",
        gossip.deaths);
  count("papayakeel_process_pauses_total",
        "Times that this process was found to have paused", gossip.pauses);
  count("papayakeel_findings_sent_total", "Findings sent to peers",
        peers.counters().findings_sent);
}

}  // namespace

void AddControlMetrics(const service_registry& registry) {
  const bundle_service* bundles =
      registry.Find<bundle_service>(bundle_service::kName);
  const entry_directory* directory =
      registry.Find<entry_directory>(entry_directory::kName);
  const peer_link* peers = registry.Find<peer_link>(peer_link::kName);
  const platform_client* platform =
      registry.Find<platform_client>(platform_client::kName);
  readiness_service* ready =
      registry.Find<readiness_service>(readiness_service::kName);
  const server_link* link = registry.Find<server_link>(server_link::kName);
  const operation_runner* operations =
      registry.Find<operation_runner>(operation_runner::kName);
  metrics_service* metrics =
      registry.Find<metrics_service>(metrics_service::kName);
  metrics->AddCollector([=](metric_sink& sink) {
    CollectBundles(*bundles, sink);
    CollectMembers(*directory, sink);
    CollectPeers(*peers, sink);
    sink.Gauge("papayakeel_ready", "1 when the process may be sent calls", {},
               ready->Check().is_ready ? 1 : 0);
    sink.Counter("papayakeel_platform_calls_total",
                 "Calls to the configuration service and the VM list", {},
                 static_cast<double>(platform->calls_total()));
    sink.Counter("papayakeel_platform_failures_total",
                 "Calls to the platform that failed", {},
                 static_cast<double>(platform->failures_total()));
    sink.Counter("papayakeel_server_connections_opened_total",
                 "Connections opened to servers", {},
                 static_cast<double>(link->opened_total()));
    sink.Counter("papayakeel_server_connections_reused_total",
                 "Attempts on a connection that was open already", {},
                 static_cast<double>(link->reused_total()));
    sink.Gauge("papayakeel_operation_keys",
               "Operation keys that the ledger remembers", {},
               static_cast<double>(operations->ledger().keys()));
    sink.Gauge("papayakeel_operation_answer_bytes",
               "Bytes of stored answers to operations", {},
               static_cast<double>(operations->ledger().stored_answer_bytes()));
  });
}

}  // namespace papayakeel
