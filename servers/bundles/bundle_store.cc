// Verification of offered bundles and their comparison with the bundle in
// force.
#include "servers/bundles/bundle_store.h"

#include <memory>
#include <utility>
#include <vector>

#include "servers/settings/text_rule.h"

namespace papayakeel {

namespace {

tl::unexpected<bundle_error> MakeError(bundle_error_code code,
                                       std::string key,
                                       std::string detail) {
  return tl::unexpected(
      bundle_error{code, 0, std::move(key), std::move(detail)});
}

}  // namespace

bundle_store::bundle_store(bundle_trust trust) : trust_(std::move(trust)) {}

tl::expected<bool, bundle_error> bundle_store::Offer(
    std::string_view published) {
  tl::expected<bool, bundle_error> outcome = Evaluate(published);
  if (!outcome)
    ++refusals_[outcome.error().code];
  return outcome;
}

tl::expected<bool, bundle_error> bundle_store::Evaluate(
    std::string_view published) {
  // Most offers repeat the bundle in force, which is already verified.
  if (current_ && published == published_)
    return false;
  tl::expected<bundle_envelope, bundle_error> envelope = Verify(published);
  if (!envelope)
    return tl::unexpected(envelope.error());
  const bundle_hash hash = HashBundleContent(envelope->content);
  if (current_ && envelope->version == current_->version && hash == hash_)
    return false;
  const bool is_conflict = current_ && envelope->version == current_->version;
  if (current_ && envelope->version < current_->version) {
    return MakeError(bundle_error_code::kOlderVersion, "version",
                     "found " + std::to_string(envelope->version) +
                         ", allowed: at least the version in force, " +
                         std::to_string(current_->version));
  }
  if (is_conflict && hash < hash_) {
    RecordConflict(envelope->key_id, hash);
    return MakeError(
        bundle_error_code::kOlderVersion, "version",
        "found other content with version " +
            std::to_string(envelope->version) +
            ", which is in force; between equal versions the larger content "
            "hash wins, allowed: a higher version");
  }
  tl::expected<bundle, std::vector<bundle_error>> content =
      ParseBundleContent(envelope->content);
  if (!content)
    return tl::unexpected(content.error().front());
  const bool is_consistent = content->deployment == envelope->deployment &&
                             content->version == envelope->version;
  if (!is_consistent) {
    return MakeError(bundle_error_code::kBadValue, "version",
                     "found another deployment or version in the content than "
                     "in the envelope, allowed: the same");
  }
  if (is_conflict)
    RecordConflict(key_id_, hash_);
  current_ = std::make_shared<const bundle>(std::move(*content));
  published_ = std::string(published);
  key_id_ = std::move(envelope->key_id);
  hash_ = hash;
  return true;
}

tl::expected<bundle_envelope, bundle_error> bundle_store::Verify(
    std::string_view published) const {
  tl::expected<bundle_envelope, bundle_error> envelope =
      bundle_envelope::Decode(published);
  if (!envelope)
    return envelope;
  const auto key = trust_.keys.find(envelope->key_id);
  if (key == trust_.keys.end()) {
    std::string trusted;
    for (const auto& [id, value] : trust_.keys)
      trusted += (trusted.empty() ? "" : ", ") + id;
    return MakeError(
        bundle_error_code::kUnknownSigner, "key_id",
        "found " + Quote(envelope->key_id) + ", allowed: " +
            (trusted.empty() ? "none, since no key is trusted" : trusted));
  }
  if (!envelope->IsSignedBy(key->second)) {
    return MakeError(bundle_error_code::kBadSignature, "signature",
                     "found a signature that is not valid for the content "
                     "and the key " +
                         envelope->key_id);
  }
  if (envelope->deployment != trust_.deployment) {
    return MakeError(bundle_error_code::kOtherDeployment, "deployment",
                     "found " + Quote(envelope->deployment) +
                         ", allowed: " + Quote(trust_.deployment));
  }
  if (envelope->version < trust_.minimum_version) {
    return MakeError(bundle_error_code::kBelowMinimum, "version",
                     "found " + std::to_string(envelope->version) +
                         ", allowed: at least bundle.minimum_version, " +
                         std::to_string(trust_.minimum_version));
  }
  return envelope;
}

void bundle_store::RecordConflict(std::string key_id, const bundle_hash& hash) {
  ++conflicts_;
  last_conflict_ =
      bundle_conflict{current_->version, std::move(key_id), ToHex(hash)};
}

}  // namespace papayakeel
