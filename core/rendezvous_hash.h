// Rendezvous (highest random weight) hashing: processes with the same list of
// candidates compute the same order without exchanging messages.
#ifndef CORE_RENDEZVOUS_HASH_H_
#define CORE_RENDEZVOUS_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace papayakeel {

// Returns the weight of `candidate` for `key`, which is the same on all
// machines.
std::uint64_t RendezvousWeight(std::string_view key,
                               std::string_view candidate);

// Returns `candidates` sorted by descending weight for `key`; equal weights are
// sorted by name.
std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> candidates);

}  // namespace papayakeel

#endif  // CORE_RENDEZVOUS_HASH_H_
