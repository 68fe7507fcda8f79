// Computation of request fingerprints.
#include "servers/operations/request_fingerprint.h"

#include <memory>

#include <xxhash.h>

namespace papayakeel {

namespace {

// Hashes the length before the data, because moving a byte from one part to
// the next must change the hash.
void AddPart(XXH3_state_t* state, std::string_view part) {
  const std::uint64_t length = part.size();
  XXH3_128bits_update(state, &length, sizeof length);
  XXH3_128bits_update(state, part.data(), part.size());
}

}  // namespace

request_fingerprint request_fingerprint::Of(std::string_view service,
                                            std::string_view method,
                                            std::string_view target,
                                            std::string_view body) {
  const std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t*)> state(
      XXH3_createState(), &XXH3_freeState);
  XXH3_128bits_reset(state.get());
  AddPart(state.get(), service);
  AddPart(state.get(), method);
  AddPart(state.get(), target);
  AddPart(state.get(), body);
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return {hash.high64, hash.low64};
}

}  // namespace papayakeel
