// Cuts single connections of a test off, as a partition does.
#ifndef TESTS_MODULES_SUPPORT_PACKET_FILTER_H_
#define TESTS_MODULES_SUPPORT_PACKET_FILTER_H_

namespace papayakeel {

// Makes the kernel drop all packets that arrive at the socket from now on,
// acknowledgements included.
void DropArrivingPackets(int socket_handle);

}  // namespace papayakeel

#endif  // TESTS_MODULES_SUPPORT_PACKET_FILTER_H_
