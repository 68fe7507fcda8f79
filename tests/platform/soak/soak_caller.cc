// Calls of one caller.
#include "tests/platform/soak/soak_caller.h"

#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace papayakeel::platform {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallerLimit{3000};
// A caller waits a little longer than it tells, so that an answer at its limit
// still arrives.
constexpr milliseconds kAnswerWait{3800};
constexpr milliseconds kConnectWait{1000};
constexpr milliseconds kPause{15};
constexpr int kOnceOnlyPercent = 40;
constexpr int kNewRoutePercent = 20;
constexpr int kChangeVmPercent = 8;
constexpr unsigned kHttp11 = 11;

}  // namespace

soak_caller::soak_caller(std::string name,
                         std::uint64_t seed,
                         std::size_t vms,
                         soak_caller_hooks hooks)
    : name_(std::move(name)),
      vms_(vms),
      hooks_(std::move(hooks)),
      random_(seed),
      is_staying_(random_() % 2 == 0) {
  thread_ = std::thread([this] { RunCalls(); });
}

soak_caller::~soak_caller() {
  is_ending_ = true;
  if (thread_.joinable())
    thread_.join();
}

std::vector<call_record> soak_caller::Finish() {
  is_ending_ = true;
  thread_.join();
  return std::move(calls_);
}

void soak_caller::RunCalls() {
  while (!is_ending_) {
    call_record call = MakeCall();
    Exchange(call);
    calls_.push_back(std::move(call));
    std::this_thread::sleep_for(kPause);
  }
}

call_record soak_caller::MakeCall() {
  const auto percent = [this] { return static_cast<int>(random_() % 100); };
  call_record call;
  call.id = name_ + "-" + std::to_string(calls_.size());
  call.is_once_only = percent() < kOnceOnlyPercent;
  if (!call.is_once_only && percent() < kNewRoutePercent)
    call.state_version = hooks_.newest_state();
  const bool is_changing =
      !stream_ || (!is_staying_ && percent() < kChangeVmPercent);
  call.vm = is_changing ? random_() % vms_ : connected_vm_;
  if (is_changing)
    stream_.reset();
  return call;
}

void soak_caller::WaitForOperation() {
  context_.restart();
  context_.run();
}

bool soak_caller::Connect(std::size_t vm) {
  const network_address address = hooks_.address_of(vm);
  const int boot = hooks_.boot_of(vm);
  stream_.emplace(context_);
  buffer_.clear();
  boost::system::error_code failure;
  stream_->expires_after(kConnectWait);
  stream_->async_connect(
      boost::asio::ip::tcp::endpoint(
          boost::asio::ip::make_address(address.host), address.port),
      [&failure](const boost::system::error_code& error) { failure = error; });
  WaitForOperation();
  connected_vm_ = vm;
  connected_boot_ = boot;
  // A restart in between leaves it open which process was reached.
  if (failure || hooks_.boot_of(vm) != boot)
    stream_.reset();
  return stream_.has_value();
}

void soak_caller::Exchange(call_record& call) {
  call.is_reused = stream_.has_value();
  call.sent_at = std::chrono::steady_clock::now();
  call.ended_at = call.sent_at;
  if (!stream_ && !Connect(call.vm))
    return;
  call.boot = connected_boot_;
  std::string target = call.is_once_only ? "/book/" : "/look/";
  if (call.state_version > 0)
    target = "/v" + std::to_string(call.state_version) + "/";
  target += call.id;
  http_request request(call.is_once_only ? http::verb::post : http::verb::get,
                       target, kHttp11,
                       call.is_once_only ? "order " + call.id : "");
  request.set(http::field::host, "a.example");
  request.set("Papayakeel-Request-Id", call.id);
  request.set("Papayakeel-Deadline-Ms", std::to_string(kCallerLimit.count()));
  request.prepare_payload();
  http_response answer;
  boost::system::error_code failure;
  stream_->expires_after(kAnswerWait);
  call.sent_at = std::chrono::steady_clock::now();
  http::async_write(*stream_, request,
                    [&](const boost::system::error_code& error, std::size_t) {
                      failure = error;
                      if (error)
                        return;
                      http::async_read(
                          *stream_, buffer_, answer,
                          [&failure](const boost::system::error_code& end,
                                     std::size_t) { failure = end; });
                    });
  WaitForOperation();
  call.ended_at = std::chrono::steady_clock::now();
  if (failure) {
    stream_.reset();
    return;
  }
  call.status = static_cast<int>(answer.result_int());
  if (call.status == 200) {
    const std::string expected =
        std::string(request.method_string()) + " " + target + "\n";
    call.is_own_answer = answer.body() == expected &&
                         answer["Papayakeel-Request-Id"] == call.id &&
                         !answer["Papayakeel-Response-Seal"].empty();
  }
  if (!answer.keep_alive())
    stream_.reset();
}

}  // namespace papayakeel::platform
