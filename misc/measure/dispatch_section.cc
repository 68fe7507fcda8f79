// Measurement of servers/dispatch at several numbers of endpoints.
#include "misc/measure/dispatch_section.h"

#include <malloc.h>

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "misc/measure/linear_fit.h"
#include "misc/measure/processor_time.h"
#include "servers/dispatch/dispatcher.h"

namespace papayakeel::measure {

namespace {

constexpr double kServiceMs = 20;

std::vector<endpoint_info> MakeEndpoints(int count) {
  std::vector<endpoint_info> made;
  made.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    endpoint_info info;
    info.address = {"10.0." + std::to_string(index / 250) + "." +
                        std::to_string(index % 250 + 1),
                    8080};
    info.availability_zone = "taoyuan";
    made.push_back(info);
  }
  return made;
}

// A dispatcher whose calls are all answered, at load 0.7.
class loaded_dispatcher {
 public:
  explicit loaded_dispatcher(int endpoints)
      : busy_target_(static_cast<std::size_t>(endpoints) * 2 * 7 / 10) {
    dispatch_hooks hooks;
    hooks.start_attempt = [this](const attempt_order& order) {
      running_.push_back(order.id);
    };
    hooks.cancel_attempt = [](attempt_id) {};
    hooks.finish_call = [](const call_result&) {};
    subject_ = std::make_unique<dispatcher>(dispatch_settings(), hooks,
                                            [this] { return random_(); });
    subject_->SetEndpoints(MakeEndpoints(endpoints), now_);
  }

  // One call: its arrival, its answer and the timers that are due.
  void RunCall() {
    now_ += FromMilliseconds(kServiceMs / static_cast<double>(busy_target_));
    call submitted;
    submitted.id = next_call_++;
    submitted.work_class = "lookup";
    submitted.arrival = now_;
    submitted.deadline = now_ + std::chrono::seconds(2);
    subject_->Submit(submitted, now_);
    if (running_.size() > busy_target_) {
      attempt_report report;
      report.id = running_.front();
      report.result = attempt_result::kAnswered;
      running_.pop_front();
      subject_->Report(report, now_);
    }
    const std::optional<monotonic_time> due = subject_->NextDeadline();
    if (due && *due <= now_)
      subject_->Advance(now_);
  }

 private:
  std::size_t busy_target_;
  std::mt19937_64 random_{1};
  std::deque<attempt_id> running_;  // Oldest first.
  monotonic_time now_{std::chrono::hours(1)};
  call_id next_call_ = 1;
  std::unique_ptr<dispatcher> subject_;
};

void MeasureCalls(std::vector<measurement>* measured) {
  std::vector<std::pair<double, double>> points;
  for (const int count : {8, 26, 100, 400}) {
    loaded_dispatcher loaded(count);
    const double time_us = MeasureMicroseconds([&loaded] { loaded.RunCall(); });
    measured->push_back(
        {"dispatch_call", {{"endpoints", count}}, time_us, "us"});
    points.emplace_back(count, time_us);
  }
  measured->push_back({"dispatch_call_per_endpoint",
                       {},
                       linear_fit::Of(points).slope,
                       "us per endpoint"});
}

void MeasureMemory(std::vector<measurement>* measured) {
  std::vector<std::pair<double, double>> points;
  for (const int count : {26, 400, 3900}) {
    const std::vector<endpoint_info> endpoints = MakeEndpoints(count);
    const std::size_t before = mallinfo2().uordblks;
    dispatcher subject({}, {}, [] { return std::uint64_t{1}; });
    subject.SetEndpoints(endpoints, monotonic_time(std::chrono::hours(1)));
    const double bytes =
        static_cast<double>(mallinfo2().uordblks) - static_cast<double>(before);
    measured->push_back(
        {"dispatcher_memory", {{"endpoints", count}}, bytes, "bytes"});
    points.emplace_back(count, bytes);
  }
  measured->push_back({"dispatcher_memory_per_endpoint",
                       {},
                       linear_fit::Of(points).slope,
                       "bytes per endpoint"});
}

std::vector<measurement> MeasureDispatch() {
  std::vector<measurement> measured;
  MeasureCalls(&measured);
  MeasureMemory(&measured);
  return measured;
}

}  // namespace

void RegisterDispatchSection(section_registry& registry) {
  registry.Register("dispatch", MeasureDispatch);
}

}  // namespace papayakeel::measure
