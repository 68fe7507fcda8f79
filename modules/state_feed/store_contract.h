// Interface of an adapter to a platform's store: building requests and parsing
// answers. The state feed decides when to call the store and how to handle
// failures.
#ifndef MODULES_STATE_FEED_STORE_CONTRACT_H_
#define MODULES_STATE_FEED_STORE_CONTRACT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "core/monotonic_time.h"
#include "modules/http/http_types.h"
#include "modules/state_feed/store_position.h"
#include "servers/discovery/endpoint_entry.h"
#include "servers/routing/desired_state.h"

namespace papayakeel {

enum class store_error_code {
  kMalformed,    // The answer is not in the store's format.
  kHistoryGone,  // The requested changes are no longer kept.
  kRefused,      // The store rejected the call; retry later.
};

// Returns the name of `code` for logs.
const char* ToString(store_error_code code);

// An entry that could not be parsed as an endpoint or a desired state.
struct malformed_entry {
  std::string reason;
};
struct removed_entry {};
// The operator's request that nothing be sent to the endpoints of a zone.
struct zone_evacuation {
  std::string zone;
};

struct store_change {
  std::string key;
  // Set for endpoint entries, including removed and malformed ones.
  std::string endpoint_id;
  std::uint64_t revision = 0;
  std::variant<removed_entry,
               malformed_entry,
               endpoint_entry,
               desired_state_pointer,
               zone_evacuation>
      value;
  // The change as the store encoded it, for relays.
  std::string original;
};

// What a listing of the store may miss.
enum class listing_kind {
  kCurrent,        // Nothing that was written before the call.
  kMayBeOutdated,  // What was written in the last seconds. Costs a tenth.
};

// A request that a follower sends to a relay instead of the store.
struct store_request {
  bool is_watch = false;
  // Listings only. A relay's listing is never outdated.
  listing_kind kind = listing_kind::kCurrent;
  // Watches only. Without an era, `after_revision` counts in the relay's era.
  std::optional<std::uint64_t> after_era;
  std::uint64_t after_revision = 0;
  time_span wait{0};  // Watches only.
};

// One page of a listing, or the changes since a revision.
struct store_page {
  std::vector<store_change> changes;
  std::uint64_t as_of = 0;  // Revision of the store when it answered.
  bool has_more = false;    // Listings only.
  std::string last_key;     // The next page starts after this key.
};

using store_page_result = tl::expected<store_page, store_error_code>;

struct store_contract {
  // Return the request targets of HTTP GET requests.
  std::function<std::string(const std::string& after_key, listing_kind kind)>
      list_target;
  std::function<std::string(std::uint64_t after_revision, time_span wait)>
      watch_target;
  // As `watch_target`, for a relay instead of the store.
  std::function<std::string(const store_position& after, time_span wait)>
      relay_watch_target;
  // Parse the answers to these requests.
  std::function<store_page_result(unsigned status, std::string_view body)>
      read_list;
  std::function<store_page_result(unsigned status, std::string_view body)>
      read_watch;

  // Read and write the era in the header of an answer. An answer without a
  // valid era has era 0.
  std::function<std::uint64_t(const http_response& answer)> read_era;
  std::function<void(http_response& answer, std::uint64_t era)> write_era;

  // The server side, for a relay: parses a request target, and writes an answer
  // from changes in the store's encoding.
  std::function<std::optional<store_request>(std::string_view target)>
      parse_request;
  std::function<std::string(const store_request& question,
                            const std::vector<std::string>& originals,
                            std::uint64_t as_of)>
      write_answer;
  unsigned history_gone_status = 0;
};

}  // namespace papayakeel

#endif  // MODULES_STATE_FEED_STORE_CONTRACT_H_
