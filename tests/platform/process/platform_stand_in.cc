// Store, endpoints and entry VMs of the stand-in.
#include "tests/platform/process/platform_stand_in.h"

#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <future>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>

#include "tests/process/support/test_client.h"
#include "tests/process/support/test_fleet.h"

namespace papayakeel::platform {

namespace {

using nlohmann::json;

// Ports are the same on all VMs, as on the platform; addresses differ.
constexpr int kCallerPort = 18381;
constexpr int kReadinessPort = 18388;
constexpr int kControlPort = 18382;
constexpr int kDirectoryPort = 18383;
constexpr int kFirstFreePort = 18400;

constexpr unsigned kHttp11 = 11;
constexpr char kService[] = "booking";
const std::string kEvacuationPrefix = "op/evacuate/";
const std::string kEvacuationValue = "{}";

http_response MakeAnswer(http::status status, const std::string& body) {
  http_response response(status, kHttp11);
  response.body() = body;
  response.prepare_payload();
  return response;
}

// Whole milliseconds from now until an endpoint is warm.
std::int64_t WarmUpMs(monotonic_time cold_until) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      cold_until - std::chrono::steady_clock::now());
  return std::max<std::int64_t>(left.count(), 0);
}

json MakeRoute(const std::string& name,
               const std::string& prefix,
               const std::string& kind) {
  return {
      {"name", name},
      {"route_kind", kind},
      {"target_latency", "500ms"},
      {"priority", 1},
      {"match", {{"prefix", prefix}}},
      {"action",
       {{"service", kService}, {"timeout", "4000ms"}, {"max_attempts", 3}}}};
}

}  // namespace

platform_stand_in::platform_stand_in()
    : host_prefix_("127." + std::to_string(20 + getpid() % 200) + "." +
                   std::to_string(1 + getpid() / 200 % 250) + "."),
      work_guard_(context_.get_executor()) {
  std::string pattern = "/tmp/papayakeel-platform-XXXXXX";
  directory_ = mkdtemp(pattern.data());
  thread_ = std::thread([this] { context_.run(); });
  Run([this] {
    store_ = std::make_unique<store_stand_in>(context_);
    published_store_address_ = store_->address();
  });
}

platform_stand_in::~platform_stand_in() {
  vms_.clear();
  Run([this] {
    working_.clear();
    endpoints_.clear();
    store_.reset();
  });
  work_guard_.reset();
  context_.stop();
  thread_.join();
}

void platform_stand_in::Run(const std::function<void()>& action) const {
  std::promise<void> done;
  boost::asio::post(context_, [&action, &done] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

std::unique_ptr<http_listener> platform_stand_in::Listen(
    std::function<void(http_exchange)> handle) {
  http_listener_settings settings;
  settings.listen = {"127.0.0.1", 0};
  http_listener_hooks hooks;
  hooks.handle = std::move(handle);
  std::unique_ptr<http_listener> listener =
      std::make_unique<http_listener>(context_, settings, std::move(hooks));
  listener->Start();
  return listener;
}

void platform_stand_in::Put(const std::string& key, const std::string& value) {
  Run([&] { store_->Put(key, value); });
}

void platform_stand_in::Remove(const std::string& key) {
  Run([&] { store_->Remove(key); });
}

void platform_stand_in::SetStoreFault(store_fault fault) {
  Run([&] { store_->SetFault(fault); });
}

store_copy platform_stand_in::CopyStore() {
  store_copy copy;
  Run([&] { copy = store_->Copy(); });
  return copy;
}

void platform_stand_in::RestoreStore(const store_copy& copy) {
  Run([&] { store_->Restore(copy); });
}

std::vector<std::function<void()>> platform_stand_in::WritesAgain(
    const std::optional<store_copy>& copy) {
  // Whether the copy has this value, or no item when the value is empty.
  const auto has = [&copy](const std::string& key, const std::string& value) {
    if (!copy)
      return false;
    const auto item = copy->items.find(key);
    return (item == copy->items.end() ? "" : item->second.value) == value;
  };
  std::vector<std::function<void()>> writes;
  if (!newest_state_.empty() && !has("op/config", newest_state_))
    writes.emplace_back([this] { Put("op/config", newest_state_); });
  for (const auto& [name, is_in_force] : evacuations_) {
    if (has(kEvacuationPrefix + name, is_in_force ? kEvacuationValue : ""))
      continue;
    writes.emplace_back([this, zone = name] {
      if (evacuations_.at(zone))
        Evacuate(zone);
      else
        RevokeEvacuation(zone);
    });
  }
  for (std::size_t index = 0; index < endpoints_.size(); ++index) {
    const stand_in_endpoint& known = *endpoints_[index];
    if (has("servers/" + known.id, known.entry))
      continue;
    writes.emplace_back([this, index] {
      const stand_in_endpoint& endpoint = *endpoints_.at(index);
      if (endpoint.is_registered)
        Register(index, endpoint.is_leaving);
      else
        Unregister(index);
    });
  }
  return writes;
}

void platform_stand_in::WriteAgain(std::uint64_t seed) {
  std::vector<std::function<void()>> writes = WritesAgain(std::nullopt);
  std::mt19937_64 random(seed);
  std::shuffle(writes.begin(), writes.end(), random);
  for (const std::function<void()>& write : writes)
    write();
}

void platform_stand_in::PutState(int version,
                                 const std::vector<std::string>& lookups,
                                 const std::vector<std::string>& downloads) {
  json policy = json::array({MakeRoute("book", "/book/", "non_idempotent")});
  for (const std::string& prefix : lookups)
    policy.push_back(MakeRoute(prefix, prefix, "idempotent"));
  for (const std::string& prefix : downloads)
    policy.push_back(MakeRoute(prefix, prefix, "download"));
  const json state = {
      {"version", version},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", body_limit_},
        {"header_timeout", "3000ms"},
        {"idle_timeout", "15000ms"}}},
      {"listeners", json::array({{{"host", "a.example"}, {"policy", policy}}})},
      {"clusters", json::array({{{"name", kService},
                                 {"health_path", "/health"},
                                 {"warmup", "3s"},
                                 {"warmup_per_s", warm_up_rate_},
                                 {"max_conns", 100}}})}};
  newest_state_ = state.dump();
  Put("op/config", newest_state_);
}

void platform_stand_in::Evacuate(const std::string& zone) {
  evacuations_[zone] = true;
  Put(kEvacuationPrefix + zone, kEvacuationValue);
}

void platform_stand_in::RevokeEvacuation(const std::string& zone) {
  evacuations_[zone] = false;
  Remove(kEvacuationPrefix + zone);
}

void platform_stand_in::MakeCold(std::size_t endpoint,
                                 time_span length,
                                 bool is_reported) {
  Run([&] {
    endpoints_.at(endpoint)->cold_until =
        std::chrono::steady_clock::now() + length;
    endpoints_.at(endpoint)->reports_warm_up = is_reported;
  });
  Register(endpoint, false);
}

std::size_t platform_stand_in::AddEndpoint(time_span work,
                                           const std::string& zone) {
  const std::size_t index = endpoints_.size();
  Run([&] {
    endpoints_.push_back(std::make_unique<stand_in_endpoint>());
    stand_in_endpoint& added = *endpoints_.back();
    added.id = "i-" + std::to_string(index);
    added.zone = zone;
    added.work = work;
    added.listener = Listen([this, index](const http_exchange& exchange) {
      HandleEndpoint(index, exchange);
    });
    added.published_address = added.listener->local_address();
  });
  Register(index, false);
  return index;
}

void platform_stand_in::SetWork(std::size_t endpoint, time_span work) {
  Run([&] { endpoints_.at(endpoint)->work = work; });
}

void platform_stand_in::SetAnswerSize(std::size_t endpoint, std::size_t bytes) {
  Run([&] { endpoints_.at(endpoint)->answer_bytes = bytes; });
}

void platform_stand_in::SetDownloadSize(std::size_t endpoint,
                                        std::size_t bytes) {
  Run([&] { endpoints_.at(endpoint)->download_bytes = bytes; });
}

void platform_stand_in::Register(std::size_t endpoint, bool is_leaving) {
  stand_in_endpoint& known = *endpoints_.at(endpoint);
  known.is_leaving = is_leaving;
  known.is_registered = true;
  const json entry = {
      {"address", known.published_address.ToString()},
      {"born", 1000},
      {"info",
       {{"service", kService},
        {"version", "v1"},
        {"zone", known.zone},
        {"slots", 2}}},
      {"status",
       {{"state", is_leaving ? "draining" : "ready"},
        {"seq", ++known.registrations},
        {"warmup_left",
         std::to_string(known.reports_warm_up ? WarmUpMs(known.cold_until)
                                              : 0) +
             "ms"}}}};
  known.entry = entry.dump();
  Put("servers/" + known.id, known.entry);
}

network_address platform_stand_in::AddressOf(std::size_t endpoint) const {
  return endpoints_.at(endpoint)->listener->local_address();
}

void platform_stand_in::SetPublishedAddress(std::size_t endpoint,
                                            const network_address& address) {
  endpoints_.at(endpoint)->published_address = address;
  Register(endpoint, false);
}

void platform_stand_in::Unregister(std::size_t endpoint) {
  endpoints_.at(endpoint)->is_registered = false;
  endpoints_.at(endpoint)->entry.clear();
  Remove("servers/" + endpoints_.at(endpoint)->id);
}

void platform_stand_in::HandleEndpoint(std::size_t index,
                                       const http_exchange& exchange) {
  stand_in_endpoint& endpoint = *endpoints_.at(index);
  const http_request& request = exchange.request;
  http_response response = MakeAnswer(
      http::status::ok, std::string(request.method_string()) + " " +
                            std::string(ToStringView(request.target())) + "\n");
  const bool is_download = request.target().starts_with("/file/");
  const std::size_t bytes =
      is_download ? endpoint.download_bytes : endpoint.answer_bytes;
  if (response.body().size() < bytes) {
    response.body().resize(bytes, 'b');
    response.prepare_payload();
  }
  response.set("Papayakeel-Server-Load", "0,0,2,100");
  response.set("Papayakeel-Instance-Id", endpoint.id);
  if (endpoint.announces_leaving)
    response.set("Server-Leaving", "1");
  if (request.target() == "/health") {
    response.set("Papayakeel-Warmup-Ms",
                 std::to_string(WarmUpMs(endpoint.cold_until)));
    endpoint.status_check_times.push_back(std::chrono::steady_clock::now());
    return exchange.respond(std::move(response));
  }
  const std::string expected(request["Papayakeel-Expect-Instance"]);
  if (!expected.empty() && expected != endpoint.id) {
    response.result(http::status::misdirected_request);
    response.set("Papayakeel-Not-Executed", "1");
    return exchange.respond(std::move(response));
  }
  const std::string id(request["Papayakeel-Request-Id"]);
  ++arrivals_[id];
  endpoint.arrival_times.push_back(std::chrono::steady_clock::now());
  response.set("Papayakeel-Request-Id", id);
  if (endpoint.is_rejecting) {
    response.result(http::status::service_unavailable);
    response.set("Papayakeel-Not-Executed", "1");
  } else {
    ++endpoint.runs;
    ++runs_[id];
    response.set("Papayakeel-Response-Seal", "seal-of-" + endpoint.id);
  }
  working_.push_back(std::make_unique<boost::asio::steady_timer>(
      context_,
      std::chrono::duration_cast<std::chrono::microseconds>(endpoint.work)));
  working_.back()->async_wait([respond = exchange.respond, response](
                                  const boost::system::error_code& error) {
    if (!error)
      respond(response);
  });
}

void platform_stand_in::Reject(std::size_t endpoint) {
  Run([&] { endpoints_.at(endpoint)->is_rejecting = true; });
}

void platform_stand_in::AnnounceLeaving(std::size_t endpoint) {
  Run([&] { endpoints_.at(endpoint)->announces_leaving = true; });
}

int platform_stand_in::ArrivalsOf(const std::string& request_id) {
  int arrivals = 0;
  Run([&] { arrivals = arrivals_[request_id]; });
  return arrivals;
}

int platform_stand_in::RunsOf(const std::string& request_id) {
  int runs = 0;
  Run([&] { runs = runs_[request_id]; });
  return runs;
}

int platform_stand_in::RunsOn(std::size_t endpoint) {
  int runs = 0;
  Run([&] { runs = endpoints_.at(endpoint)->runs; });
  return runs;
}

std::optional<monotonic_time> platform_stand_in::LastArrivalOn(
    std::size_t endpoint) {
  const std::vector<monotonic_time> times = ArrivalTimesOn(endpoint);
  return times.empty() ? std::nullopt : std::make_optional(times.back());
}

std::vector<monotonic_time> platform_stand_in::ArrivalTimesOn(
    std::size_t endpoint) {
  std::vector<monotonic_time> times;
  Run([&] { times = endpoints_.at(endpoint)->arrival_times; });
  return times;
}

std::vector<monotonic_time> platform_stand_in::StatusCheckTimesOn(
    std::size_t endpoint) {
  std::vector<monotonic_time> times;
  Run([&] { times = endpoints_.at(endpoint)->status_check_times; });
  return times;
}

network_address platform_stand_in::StoreAddress() const {
  return store_->address();
}

void platform_stand_in::SetPublishedStoreAddress(
    const network_address& address) {
  published_store_address_ = address;
}

std::size_t platform_stand_in::AddEntryVm(const std::string& log_path) {
  const std::size_t index = vms_.size();
  stand_in_vm added;
  added.host = host_prefix_ + std::to_string(index + 1);
  const std::string name = directory_ + "/vm" + std::to_string(index);
  added.log_path = log_path.empty() ? name + ".log" : log_path;
  const auto address = [&added](int port) {
    return added.host + ":" + std::to_string(port);
  };
  added.settings_path = name + ".conf";
  std::ofstream settings(added.settings_path);
  settings << "node=edge-" << index
           << "\nzone=z\nlisten.front=" << address(kCallerPort)
           << "\nlisten.readiness=" << address(kReadinessPort)
           << "\nlisten.control=" << address(kControlPort)
           << "\nlisten.directory=" << address(kDirectoryPort)
           << "\nport_range=" << kFirstFreePort << "," << kFirstFreePort + 15
           << "\nseeds=" << host_prefix_ << "1:" << kControlPort << ","
           << host_prefix_ << "2:" << kControlPort
           << "\nlimits.cpu_share=0.2\nlimits.memory_mb=" << memory_megabytes_
           << "\n";
  if (link_megabits_ > 0)
    settings << "limits.link_mbps=" << link_megabits_ << "\n";
  settings << "bounds=grace=6s,retry_ratio=0.2,retry_window=10s,"
           << "retry_slack=58,probes_per_s=60\nplatform.address="
           << published_store_address_.ToString() << "\n";
  settings.close();
  StartProcess(added);
  vms_.push_back(std::move(added));
  return index;
}

void platform_stand_in::StartProcess(stand_in_vm& vm) {
  // The shell is replaced by the daemon, so that signals reach it.
  vm.process = std::make_unique<child_process>(
      std::vector<std::string>{"/bin/sh", "-c",
                               "PAPAYAKEEL_BOOT=" + vm.settings_path +
                                   " exec " +
                                   std::string(PAPAYAKEEL_BINARY_DIR) +
                                   "/papayakeeld --platform >> " + vm.log_path},
      vm.settings_path + ".err");
}

bool platform_stand_in::AddEntryVms(std::size_t count) {
  for (std::size_t vm = 0; vm < count; ++vm)
    AddEntryVm();
  const bool are_ready = WaitUntil([&] {
    for (std::size_t vm = 0; vm < count; ++vm) {
      if (!IsReady(vm) || AddressesFrom(vm).size() != count)
        return false;
    }
    return true;
  });
  // New processes watch the store once they know the others.
  std::this_thread::sleep_for(std::chrono::seconds(1));
  return are_ready;
}

void platform_stand_in::RestartEntryVm(std::size_t index) {
  stand_in_vm& vm = vms_.at(index);
  vm.process->Kill();
  StartProcess(vm);
}

network_address platform_stand_in::CallersOf(std::size_t index) const {
  return {vms_.at(index).host, kCallerPort};
}

std::string platform_stand_in::LogOf(std::size_t index) const {
  std::ifstream file(vms_.at(index).log_path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string platform_stand_in::MetricsOf(std::size_t index) const {
  const std::optional<http_response> answer =
      Send({vms_.at(index).host, kFirstFreePort + 1}, http::verb::get,
           "/metrics", {}, "", std::chrono::seconds(1));
  return answer ? answer->body() : "";
}

bool platform_stand_in::IsReady(std::size_t index) const {
  const std::optional<http_response> answer =
      Send({vms_.at(index).host, kReadinessPort}, http::verb::get, "/-/ready",
           {}, "", std::chrono::seconds(1));
  return answer && answer->result() == http::status::ok;
}

std::vector<std::string> platform_stand_in::AddressesFrom(
    std::size_t index) const {
  const std::optional<http_response> answer =
      Send({vms_.at(index).host, kDirectoryPort}, http::verb::get,
           "/-/resolve?name=a.example&region=r&zone=z", {}, "",
           std::chrono::seconds(1));
  if (!answer || answer->result() != http::status::ok)
    return {};
  return json::parse(answer->body())
      .at("addresses")
      .get<std::vector<std::string>>();
}

}  // namespace papayakeel::platform
