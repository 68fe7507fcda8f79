// Polling of processes during a rollout of a bundle.
#include "main/client/rollout_watch_command.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "main/client/process_list.h"

namespace papayakeel {

namespace {

using clock = std::chrono::steady_clock;

// Timeout of one poll, after which the process is polled again.
constexpr std::chrono::milliseconds kRequestTimeout{2000};

// Last known bundle of one process.
struct watched_process {
  network_address address;
  std::unique_ptr<boost::asio::steady_timer> timer;
  std::uint64_t version = 0;
  std::string content_hash;
  std::optional<std::chrono::milliseconds> activated_after;
  std::string last_error;  // Empty after a valid reply.
};

class rollout_watch {
 public:
  rollout_watch(const process_list& processes,
                std::uint64_t version,
                std::chrono::milliseconds interval)
      : processes_(processes), version_(version), interval_(interval) {
    for (const network_address& each : processes.addresses()) {
      watched_.emplace_back();
      watched_.back().address = each;
      watched_.back().timer =
          std::make_unique<boost::asio::steady_timer>(context_);
    }
  }

  // Polls until the bundle is in force in all processes or the timeout expires.
  // Calls `on_activated` when a process first reports the bundle or reports
  // other content.
  void Run(const std::function<void(const watched_process&)>& on_activated) {
    on_activated_ = on_activated;
    for (watched_process& each : watched_)
      Poll(each);
    context_.run_for(processes_.timeout());
    duration_ = Elapsed();
  }

  // Returns whether all processes have the same bundle, of the awaited version
  // or a later one. The content hash is compared too, because two bundles can
  // have the same version and different contents.
  bool IsDone() const {
    return std::all_of(
        watched_.begin(), watched_.end(), [this](const watched_process& each) {
          return each.activated_after && each.version == watched_[0].version &&
                 each.content_hash == watched_[0].content_hash;
        });
  }

  const std::vector<watched_process>& watched() const { return watched_; }
  std::chrono::milliseconds duration() const { return duration_; }

 private:
  std::chrono::milliseconds Elapsed() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() -
                                                                 start_);
  }

  void Poll(watched_process& process) {
    processes_.Send(
        context_, process.address, http::verb::get, "/state", "",
        kRequestTimeout, [this, &process](const process_reply& reply) {
          RecordReply(process, reply);
          if (IsDone())
            return context_.stop();
          process.timer->expires_after(interval_);
          process.timer->async_wait(
              [this, &process](const boost::system::error_code& error) {
                if (!error)
                  Poll(process);
              });
        });
  }

  void RecordReply(watched_process& process, const process_reply& reply) {
    const nlohmann::json::json_pointer version("/bundles/version");
    const nlohmann::json::json_pointer hash("/bundles/content_hash");
    const bool has_bundle_state =
        reply.is_ok() && reply.body.contains(version) &&
        reply.body[version].is_number_unsigned() && reply.body.contains(hash) &&
        reply.body[hash].is_string();
    if (!has_bundle_state) {
      // The process may have been replaced and may have lost the bundle.
      process.last_error = reply.is_ok() ? "unknown state" : reply.Describe();
      process.activated_after.reset();
      return;
    }
    process.last_error.clear();
    const std::string content_hash = reply.body[hash].get<std::string>();
    const bool has_new_content = process.content_hash != content_hash;
    process.version = reply.body[version].get<std::uint64_t>();
    process.content_hash = content_hash;
    if (process.version < version_) {
      process.activated_after.reset();
      return;
    }
    if (process.activated_after && !has_new_content)
      return;
    process.activated_after = Elapsed();
    on_activated_(process);
  }

  const process_list& processes_;
  const std::uint64_t version_;
  const std::chrono::milliseconds interval_;
  const clock::time_point start_ = clock::now();
  boost::asio::io_context context_{1};
  std::vector<watched_process> watched_;
  std::function<void(const watched_process&)> on_activated_;
  std::chrono::milliseconds duration_{0};
};

nlohmann::json ToJson(const watched_process& process) {
  nlohmann::json entry = {{"address", process.address.ToString()},
                          {"version", process.version},
                          {"content_hash", process.content_hash},
                          {"taken_after_ms", nullptr}};
  if (process.activated_after)
    entry["taken_after_ms"] = process.activated_after->count();
  if (!process.last_error.empty())
    entry["error"] = process.last_error;
  return entry;
}

}  // namespace

int RunRolloutWatch(const std::vector<std::string>& arguments,
                    const client_output& output) {
  command_line line("rollout watch", "");
  process_list processes;
  std::uint64_t version = 0;
  std::uint64_t interval_ms = 100;
  bool is_json = false;
  processes.AddOptions(line);
  line.AddNumber("version", &version, 1, INT64_MAX,
                 "Version to wait for; later versions are accepted too", true);
  line.AddNumber(
      "interval-ms", &interval_ms, 1, 60 * 1000,
      "Polling interval for each process in milliseconds, default 100", false);
  line.AddFlag("json", &is_json, "Print JSON");
  std::optional<int> status = line.Parse(arguments, output);
  if (!status)
    status = processes.Read(line, 0, output);
  if (status)
    return *status;
  rollout_watch watch(processes, version,
                      std::chrono::milliseconds(interval_ms));
  watch.Run([&output, is_json](const watched_process& process) {
    if (is_json)
      return;
    output.out << process.address.ToString() << "  version " << process.version
               << "  " << process.content_hash.substr(0, 16) << "  after "
               << process.activated_after->count() << " ms" << std::endl;
  });
  const bool is_done = watch.IsDone();
  if (is_json) {
    nlohmann::json list = nlohmann::json::array();
    for (const watched_process& each : watch.watched())
      list.push_back(ToJson(each));
    output.PrintJson({{"done", is_done},
                      {"version", version},
                      {"total_ms", watch.duration().count()},
                      {"interval_ms", interval_ms},
                      {"processes", list}});
    return is_done ? kExitOk : kExitNegative;
  }
  if (is_done) {
    output.out << "in force everywhere after " << watch.duration().count()
               << " ms\n";
    return kExitOk;
  }
  output.out << "not in force everywhere after " << watch.duration().count()
             << " ms\n";
  for (const watched_process& each : watch.watched()) {
    output.out << each.address.ToString() << "  version " << each.version
               << "  " << each.content_hash.substr(0, 16)
               << (each.last_error.empty() ? "" : "  " + each.last_error)
               << "\n";
  }
  return kExitNegative;
}

}  // namespace papayakeel
