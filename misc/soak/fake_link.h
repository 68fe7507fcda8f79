// Connections of one process to servers, by the rules of section 4.5 of the
// design; stands for modules/server_link, which needs sockets.
#ifndef MISC_SOAK_FAKE_LINK_H_
#define MISC_SOAK_FAKE_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "misc/soak/soak_connection.h"
#include "misc/soak/wire.h"
#include "servers/dispatch/attempt_order.h"
#include "servers/dispatch/attempt_report.h"

namespace papayakeel::soak {

class soak_world;

struct link_result {
  attempt_result result = attempt_result::kUnknown;
  std::string body;  // Only for kAnswered.
  bool is_server_error = false;
  bool is_leaving = false;
};

using link_callback = std::function<void(const link_result&)>;

class fake_link {
 public:
  fake_link(soak_world& world, std::size_t entry_vm, std::uint64_t process);

  // Sends an attempt under the id `exchange`.
  void Start(std::uint64_t exchange,
             const attempt_order& order,
             const wire_request& request,
             link_callback done);
  // The answer is no longer wanted; `done` is not called.
  void Cancel(std::uint64_t exchange);

  void OnAnswer(const connection_pointer& connection,
                const wire_answer& answer);
  void OnClose(const connection_pointer& connection);

  // For the mutation that closes connections to leaving servers.
  void CloseAll(std::uint64_t server);

 private:
  struct exchange_state {
    connection_pointer connection;  // Null until it is open.
    link_callback done;
    wire_request request;
  };

  void Send(std::uint64_t exchange,
            const connection_pointer& connection,
            const attempt_order& order);
  connection_pointer TakeIdle(const attempt_order& order);
  void End(std::uint64_t exchange, const link_result& result, bool close);

  soak_world& world_;
  const std::size_t entry_vm_;
  const std::uint64_t process_;
  std::map<std::uint64_t, exchange_state> exchanges_;
  std::map<network_address, std::vector<connection_pointer>> idle_;
};

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_FAKE_LINK_H_
