// Attaches a filter that accepts nothing.
#include "tests/modules/support/packet_filter.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

void DropArrivingPackets(int socket_handle) {
  sock_filter accept_nothing = BPF_STMT(BPF_RET | BPF_K, 0);
  sock_fprog program = {};
  program.len = 1;
  program.filter = &accept_nothing;
  LONGS_EQUAL(0, setsockopt(socket_handle, SOL_SOCKET, SO_ATTACH_FILTER,
                            &program, sizeof(program)));
}

}  // namespace papayakeel
