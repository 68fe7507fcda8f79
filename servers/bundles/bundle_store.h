// Selects the bundle in force.
//
// Bundles are totally ordered by version and then by content hash. The store
// only replaces a bundle by one that is later in this order. All processes with
// the same trust settings that received the same bundles therefore have the
// same bundle in force, regardless of the order of arrival.
#ifndef SERVERS_BUNDLES_BUNDLE_STORE_H_
#define SERVERS_BUNDLES_BUNDLE_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "servers/bundles/bundle.h"
#include "servers/bundles/bundle_content.h"
#include "servers/bundles/bundle_envelope.h"
#include "servers/bundles/bundle_error.h"
#include "servers/bundles/bundle_trust.h"

namespace papayakeel {

// A rejected or replaced bundle that had the same version as the bundle in
// force at that time, but other content.
struct bundle_conflict {
  std::uint64_t version = 0;
  std::string key_id;        // Key of the bundle with the smaller hash.
  std::string content_hash;  // The smaller hash, in hexadecimal.
};

class bundle_store {
 public:
  explicit bundle_store(bundle_trust trust);

  // Verifies an encoded envelope and compares its bundle with the bundle in
  // force. Returns true when the bundle in force changed, false when it already
  // had this content, and an error when the bundle is rejected. A rejected
  // bundle changes only the counters and last_conflict().
  tl::expected<bool, bundle_error> Offer(std::string_view published);

  // The bundle in force, or null until the first bundle is accepted.
  const bundle_pointer& current() const { return current_; }

  // Encoded envelope of the bundle in force; empty until the first bundle is
  // accepted.
  const std::string& published() const { return published_; }

  // Content hash of the bundle in force; all zero until the first bundle is
  // accepted.
  const bundle_hash& content_hash() const { return hash_; }

  // Id of the key that signed the bundle in force.
  const std::string& key_id() const { return key_id_; }

  // Number of rejected offers since process start, by error code.
  const std::map<bundle_error_code, std::uint64_t>& refusals() const {
    return refusals_;
  }

  // Number of offers of a trusted bundle that had the same version as the
  // bundle in force, but other content.
  std::uint64_t conflicts() const { return conflicts_; }

  const std::optional<bundle_conflict>& last_conflict() const {
    return last_conflict_;
  }

 private:
  tl::expected<bool, bundle_error> Evaluate(std::string_view published);
  tl::expected<bundle_envelope, bundle_error> Verify(
      std::string_view published) const;
  void RecordConflict(std::string key_id, const bundle_hash& hash);

  const bundle_trust trust_;
  bundle_pointer current_;
  std::string published_;
  std::string key_id_;
  bundle_hash hash_{};  // Content hash of current_.
  std::map<bundle_error_code, std::uint64_t> refusals_;
  std::uint64_t conflicts_ = 0;
  std::optional<bundle_conflict> last_conflict_;
};

}  // namespace papayakeel

#endif  // SERVERS_BUNDLES_BUNDLE_STORE_H_
