// Tests of the adapter to the users' platform.
#include <string>
#include <variant>

#include "platform/entry_codec.h"
#include "platform/platform_contracts.h"
#include "platform/platform_settings.h"
#include "platform/time_text.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel::platform {
namespace {

using std::chrono::milliseconds;

constexpr char kSettings[] =
    "node=edge-a-1\nzone=sve-mitt-a\nlisten.front=10.1.0.18:8381\n"
    "listen.readiness=10.1.0.18:8388\nlisten.control=10.1.0.18:8382\n"
    "listen.directory=10.1.0.18:8383\nport_range=7200,7215\n"
    "seeds=10.1.0.18:8382,10.2.0.34:8382\nlimits.cpu_share=0.2\n"
    "limits.memory_mb=260\nlimits.link_mbps=10\nnew.field=x\n"
    "bounds=grace=6s,retry_ratio=0.2,retry_window=10s,retry_slack=58,"
    "probes_per_s=60\nplatform.address=10.200.1.7:8384\n";

}  // namespace

TEST_GROUP(platform){};

// Guards against a field that is read from the wrong name.
TEST(platform, Settings) {
  const tl::expected<entry_settings, platform_settings_error> settings =
      ReadPlatformSettings(kSettings);
  CHECK(settings.has_value());
  LONGS_EQUAL(8381, settings->caller_listen.port);
  LONGS_EQUAL(8382, settings->peer_listen.port);
  LONGS_EQUAL(8383, settings->lookup_listen.port);
  LONGS_EQUAL(7200, settings->slot_listen.port);
  LONGS_EQUAL(7201, settings->metrics_listen.port);
  LONGS_EQUAL(2, settings->peer_seeds.size());
  LONGS_EQUAL(200, settings->capacity);
  LONGS_EQUAL(1'250'000, settings->link_bytes_per_second);
  CHECK(settings->shutdown_grace == std::chrono::seconds(6));
  DOUBLES_EQUAL(0.2, settings->repeat_ratio, 0.0001);
  DOUBLES_EQUAL(60, settings->probes_per_second, 0.0001);
}

// Guards against a link speed that is out of range or taken for a number when
// the platform states none.
TEST(platform, LinkSpeed) {
  const auto speed = [](const std::string& line) {
    std::string text = kSettings;
    const std::string old = "limits.link_mbps=10\n";
    text.replace(text.find(old), old.size(), line);
    const tl::expected<entry_settings, platform_settings_error> settings =
        ReadPlatformSettings(text);
    CHECK_TEXT(settings.has_value(), line.c_str());
    return settings->link_bytes_per_second;
  };
  LONGS_EQUAL(0, speed(""));
  LONGS_EQUAL(0, speed("limits.link_mbps=\n"));
  LONGS_EQUAL(0, speed("limits.link_mbps=0\n"));
  LONGS_EQUAL(0, speed("limits.link_mbps=-5\n"));
  LONGS_EQUAL(25'000'000, speed("limits.link_mbps=200\n"));
  CHECK(speed("limits.link_mbps=1e300\n") <= (1ULL << 50));
}

// Guards against a process that starts with an address it cannot read.
TEST(platform, SettingsErrorsNameTheField) {
  std::string text = kSettings;
  text.replace(text.find("10.1.0.18:8381"), 14, "10.1.0.18:none");
  STRCMP_EQUAL("listen.front",
               ReadPlatformSettings(text).error().field.c_str());
  CHECK_FALSE(ReadPlatformSettings("").has_value());
}

TEST(platform, Times) {
  CHECK(*ParseTime("1500ms") == milliseconds(1500));
  CHECK(*ParseTime("2.5s") == milliseconds(2500));
  for (const char* bad : {"", "s", "ms", "5", "5m", "-1s", "1e99s", "nans"})
    CHECK_FALSE(ParseTime(bad).has_value());
  STRCMP_EQUAL("1500ms", FormatTime(milliseconds(1500)).c_str());
}

constexpr char kState[] =
    R"({"version":7,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
    R"("header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":)"
    R"("a.example","policy":[{"name":"r","route_kind":"idempotent",)"
    R"("target_latency":"400ms","priority":2,"match":{"prefix":"/l/"},"action":)"
    R"({"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":)"
    R"(10}],"timeout":"1500ms","max_attempts":2}},{"name":"q","route_kind":)"
    R"("new_kind","target_latency":"500ms","priority":1,"match":{"prefix":"/x/"},)"
    R"("action":{"service":"s3","timeout":"2000ms","max_attempts":2}}]}],)"
    R"("clusters":[{"name":"s1","health_path":"/health","max_conns":220}]})";

// Guards against a desired state that is read differently from how the
// operator wrote it; an unknown kind must not be repeated.
TEST(platform, DesiredState) {
  const tl::expected<desired_state, malformed_entry> state =
      DecodeDesiredState(kState);
  CHECK(state.has_value());
  LONGS_EQUAL(7, state->version);
  LONGS_EQUAL(2, state->routes.size());
  const route& first = state->routes[0];
  CHECK(first.repeat == repeat_rule::kIdempotent);
  LONGS_EQUAL(2, first.targets.size());
  CHECK(first.timeout == milliseconds(1500));
  CHECK(first.goal == milliseconds(400));
  CHECK(state->routes[1].repeat == repeat_rule::kOnceOnly);
  STRCMP_EQUAL("/health", state->services.at("s1").status_check_path.c_str());
}

// Guards against downloads that are treated as once-only, and against other
// kinds that are repeated.
TEST(platform, OnlyIdempotentAndDownloadRoutesPermitRepeats) {
  const auto rule = [](const std::string& kind) {
    std::string text = kState;
    text.replace(text.find("new_kind"), 8, kind);
    const tl::expected<desired_state, malformed_entry> state =
        DecodeDesiredState(text);
    CHECK_TEXT(state.has_value(), kind.c_str());
    return state->routes[1].repeat;
  };
  CHECK(rule("download") == repeat_rule::kDownload);
  STRCMP_EQUAL("download", ToString(rule("download")));
  CHECK(PermitsRepeats(rule("download")));
  CHECK(PermitsRepeats(rule("idempotent")));
  for (const char* const kind :
       {"upload", "non_idempotent", "Download", "downloads", "other"}) {
    CHECK_FALSE_TEXT(PermitsRepeats(rule(kind)), kind);
  }
}

// Guards against a forged or cut desired state that ends the process or is
// put in force.
TEST(platform, CutDesiredStateIsUnreadable) {
  const std::string whole = kState;
  for (std::size_t size = 0; size < whole.size(); ++size)
    CHECK_FALSE(DecodeDesiredState(whole.substr(0, size)).has_value());
}

// Guards against entries of other writers that name an endpoint to use.
TEST(platform, ForgedEndpointsAreUnreadable) {
  const std::string good =
      R"({"address":"10.128.0.9:8080","born":12,"info":{"service":"s","version":)"
      R"("v1","zone":"z","slots":2},"status":{"state":"ready","seq":4,)"
      R"("warmup_left":"250ms"}})";
  const tl::expected<endpoint_entry, malformed_entry> entry =
      DecodeEndpoint("i-1", good);
  CHECK(entry.has_value());
  LONGS_EQUAL(12, entry->started_unix_ms);
  CHECK(entry->warm_up_left == milliseconds(250));
  const auto with = [&good](const std::string& from, const std::string& to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return DecodeEndpoint("i-1", text);
  };
  CHECK_FALSE(with("\"ready\"", "\"resting\"").has_value());
  CHECK_FALSE(with("\"seq\":4", "\"seq\":\"4\"").has_value());
  CHECK_FALSE(with("\"slots\":2", "\"slots\":0").has_value());
  CHECK_FALSE(with("10.128.0.9:8080", "10.128.0.9").has_value());
  CHECK_FALSE(with("\"status\"", "\"state\"").has_value());
  CHECK_FALSE(DecodeEndpoint("i-1", "\xff\xfe").has_value());
}

// Guards against store answers that are misread: pages, removals, a lost
// history, and keys of others.
TEST(platform, StoreAnswers) {
  const store_contract contract = MakeStoreContract();
  const store_page_result page = contract.read_watch(
      200, R"({"events":[{"key":"my/leader","value":"bm8=","revision":1},)"
           R"({"key":"servers/i-1","revision":9,"removed":true},)"
           R"({"key":"op/config","value":"%%","revision":10}],"as_of":11})");
  CHECK(page.has_value());
  LONGS_EQUAL(11, page->as_of);
  LONGS_EQUAL(2, page->changes.size());
  STRCMP_EQUAL("i-1", page->changes[0].endpoint_id.c_str());
  CHECK(std::holds_alternative<removed_entry>(page->changes[0].value));
  CHECK(std::holds_alternative<malformed_entry>(page->changes[1].value));
  CHECK(contract.read_watch(410, "").error() == store_error_code::kHistoryGone);
  CHECK(contract.read_list(503, "").error() == store_error_code::kRefused);
  CHECK(contract.read_list(200, "{}").error() == store_error_code::kMalformed);
}

// Guards against an evacuation that is missed because of its value, and against
// keys that name no zone.
TEST(platform, Evacuations) {
  const store_contract contract = MakeStoreContract();
  const store_page_result page = contract.read_list(
      200, R"({"items":[{"key":"op/evacuate/","value":"e30=","revision":1},)"
           R"({"key":"op/evacuate/b/1","value":"e30=","revision":2},)"
           R"({"key":"op/evacuate/c","value":"%%","revision":3},)"
           R"({"key":"op/evacuate/d","revision":4},)"
           R"({"key":"op/evacuated","value":"e30=","revision":5}],"as_of":5})");
  CHECK(page.has_value());
  LONGS_EQUAL(3, page->changes.size());
  std::string zones;
  for (const store_change& change : page->changes) {
    zones += std::get<zone_evacuation>(change.value).zone + " ";
    CHECK(change.endpoint_id.empty());
    // A follower reads the same from a relay.
    const store_page_result relayed = contract.read_list(
        200, contract.write_answer(store_request{}, {change.original}, 5));
    LONGS_EQUAL(1, relayed->changes.size());
    STRCMP_EQUAL(
        std::get<zone_evacuation>(change.value).zone.c_str(),
        std::get<zone_evacuation>(relayed->changes[0].value).zone.c_str());
    LONGS_EQUAL(change.revision, relayed->changes[0].revision);
  }
  STRCMP_EQUAL("b/1 c d ", zones.c_str());
  const store_page_result removal = contract.read_watch(
      200, R"({"events":[{"key":"op/evacuate/c","revision":6,"removed":true}],)"
           R"("as_of":6})");
  LONGS_EQUAL(1, removal->changes.size());
  STRCMP_EQUAL("op/evacuate/c", removal->changes[0].key.c_str());
  CHECK(std::holds_alternative<removed_entry>(removal->changes[0].value));
}

// Guards against a limit on cold endpoints that is misread, or set where the
// operator set none.
TEST(platform, WarmUpRates) {
  const auto rate = [](const std::string& member) {
    std::string text = kState;
    const std::string name = R"("name":"s1",)";
    text.replace(text.find(name), name.size(), name + member);
    const tl::expected<desired_state, malformed_entry> state =
        DecodeDesiredState(text);
    return state ? state->services.at("s1").warm_up_rate : -1;
  };
  DOUBLES_EQUAL(0, rate(""), 0);
  DOUBLES_EQUAL(0, rate(R"("warmup":"3s",)"), 0);
  DOUBLES_EQUAL(0, rate(R"("warmup":"3s","warmup_per_s":0,)"), 0);
  DOUBLES_EQUAL(3.7, rate(R"("warmup":"3s","warmup_per_s":3.7,)"), 0.0001);
  DOUBLES_EQUAL(-1, rate(R"("warmup_per_s":-2,)"), 0);
  DOUBLES_EQUAL(-1, rate(R"("warmup_per_s":"2",)"), 0);
  STRCMP_EQUAL("Papayakeel-Warmup-Ms",
               MakeCallerContract().headers.endpoint_warm_up.c_str());
}

// Guards against a relay whose answers its followers cannot read.
TEST(platform, RelayedAnswersReadLikeTheStores) {
  const store_contract contract = MakeStoreContract();
  const store_request watch = *contract.parse_request(
      contract.watch_target(41, std::chrono::seconds(2)));
  CHECK(watch.is_watch);
  LONGS_EQUAL(41, watch.after_revision);
  CHECK(watch.wait == std::chrono::seconds(2));
  CHECK_FALSE(
      contract.parse_request(contract.list_target("", listing_kind::kCurrent))
          ->is_watch);
  for (const listing_kind kind :
       {listing_kind::kCurrent, listing_kind::kMayBeOutdated}) {
    CHECK(contract.parse_request(contract.list_target("a", kind))->kind ==
          kind);
  }
  CHECK_FALSE(contract.parse_request("/-/kv-watch?after=x").has_value());
  const std::string body = contract.write_answer(
      watch, {R"({"key":"servers/i-1","revision":42,"removed":true})"}, 42);
  const store_page_result page = contract.read_watch(200, body);
  LONGS_EQUAL(1, page->changes.size());
  LONGS_EQUAL(42, page->as_of);
}

// Guards against an era or revision that a relay reads differently than the
// follower wrote it, which makes the follower list again without end.
TEST(platform, RelaysReadLargePositionsExactly) {
  const store_contract contract = MakeStoreContract();
  const store_position after{(1ULL << 62) + 1, (1ULL << 61) + 1};
  const std::optional<store_request> question = contract.parse_request(
      contract.relay_watch_target(after, std::chrono::milliseconds(600)));
  CHECK(question.has_value());
  CHECK(question->after_era == after.era);
  CHECK(question->after_revision == after.revision);
}

// Guards against loads that are misread; the fourth figure is optional.
TEST(platform, LoadReports) {
  const caller_contract contract = MakeCallerContract();
  DOUBLES_EQUAL(1, contract.read_load("3,0,8")->slowdown, 0.001);
  DOUBLES_EQUAL(5, contract.read_load("1, 0, 2, 500")->slowdown, 0.001);
  for (const char* bad : {"", "1,2", "a,b,c", "-1,0,2"})
    CHECK_FALSE(contract.read_load(bad).has_value());
  STRCMP_EQUAL("jepu9.example",
               contract
                   .read_address_question(
                       "/-/resolve?name=jepu9.example&region=r&zone=z")
                   ->host.c_str());
  CHECK_FALSE(contract.read_address_question("/other?name=x").has_value());
}

}  // namespace papayakeel::platform
