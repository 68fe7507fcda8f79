// A caller of the soak: keeps a connection until it breaks or is closed, and
// records what comes back for each request. Some callers change to other VMs,
// others use a connection until its process is gone.
#ifndef TESTS_PLATFORM_SOAK_SOAK_CALLER_H_
#define TESTS_PLATFORM_SOAK_SOAK_CALLER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "core/network_address.h"
#include "modules/http/http_types.h"
#include "tests/platform/soak/soak_record.h"

namespace papayakeel::platform {

struct soak_caller_hooks {
  // Address of a VM for callers.
  std::function<network_address(std::size_t vm)> address_of;
  // Number of the start of the VM's process that runs now.
  std::function<int(std::size_t vm)> boot_of;
  // Newest desired state that the store has accepted.
  std::function<int()> newest_state;
};

class soak_caller {
 public:
  soak_caller(std::string name,
              std::uint64_t seed,
              std::size_t vms,
              soak_caller_hooks hooks);
  ~soak_caller();
  soak_caller(const soak_caller&) = delete;
  soak_caller& operator=(const soak_caller&) = delete;

  // Ends the calls and returns their records. Call once.
  std::vector<call_record> Finish();

 private:
  void RunCalls();
  call_record MakeCall();
  void Exchange(call_record& call);
  bool Connect(std::size_t vm);
  // Runs the context until the operation that was started has ended.
  void WaitForOperation();

  const std::string name_;
  const std::size_t vms_;
  const soak_caller_hooks hooks_;
  std::mt19937_64 random_;
  bool is_staying_ = false;  // Whether it keeps its VM while it can.
  std::vector<call_record> calls_;
  std::atomic<bool> is_ending_{false};
  boost::asio::io_context context_;
  std::optional<boost::beast::tcp_stream> stream_;  // Open connection.
  boost::beast::flat_buffer buffer_;
  std::size_t connected_vm_ = 0;
  int connected_boot_ = 0;
  std::thread thread_;
};

}  // namespace papayakeel::platform

#endif  // TESTS_PLATFORM_SOAK_SOAK_CALLER_H_
