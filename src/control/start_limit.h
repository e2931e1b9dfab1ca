// Until when runs may start on a list of upstreams that is not updated.
#ifndef JAYPICK_CONTROL_START_LIMIT_H_
#define JAYPICK_CONTROL_START_LIMIT_H_

#include <optional>

#include "jaypick/time.h"

namespace jaypick::control {

struct StartLimitOptions {
  // Time between the announcement of a shutdown and the exit of the upstream.
  Duration upstream_notice{0};
  // Reserve for a start request on its way to an upstream, and for the interval
  // at which the limit is updated.
  Duration margin = std::chrono::milliseconds(350);
  // A list that is this much older than the claim of its leader was read during
  // an earlier leadership: the interval of reads and three that time out in a
  // row explain less.
  Duration max_age_at_claim = std::chrono::seconds(3);
  // Time after the claim in which some read succeeds if the store works.
  Duration max_hold = std::chrono::seconds(3);
};

// What a leader knows of the list of upstreams.
struct UpstreamListState {
  // The list includes all changes that the store made before this time.
  TimePoint as_of;
  // The store, or a peer that it responds to, can provide a newer list.
  bool can_be_updated = false;
  // When the store accepted the leader's claim; absent if it leads by
  // delegation.
  std::optional<TimePoint> claimed_at;
};

// Returns the time from which no run may start, as the list may then miss that
// an upstream is shutting down; `TimePoint::max()` if there is no such time.
//
// A store that is unreachable accepts no announcements either, so the list of a
// leader that has kept it up to date stays in use. A new leader whose list is
// old waits for a newer one, as the store worked when it accepted the claim.
TimePoint StartLimit(const StartLimitOptions& options,
                     const UpstreamListState& list,
                     TimePoint now);

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_START_LIMIT_H_
