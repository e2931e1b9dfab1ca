// Until when runs may start on a list of upstreams that is not updated.
#ifndef JAYPICK_CONTROL_START_LIMIT_H_
#define JAYPICK_CONTROL_START_LIMIT_H_

#include "jaypick/time.h"

namespace jaypick::control {

struct StartLimitOptions {
  // Time between the announcement of a shutdown and the exit of the upstream.
  Duration upstream_notice{0};
  // Reserve for a start request on its way to an upstream, and for the interval
  // at which the limit is updated.
  Duration margin = std::chrono::milliseconds(350);
  // Lag of the list behind other responses of the store that is normal: two
  // intervals of reads and one read that takes long.
  Duration max_lag = std::chrono::seconds(1);
  // Time without the store after which a list that lagged is used all the same,
  // as nothing better will come.
  Duration max_hold = std::chrono::seconds(3);
};

// What an instance knows of the list of upstreams.
struct UpstreamListState {
  // The list includes all changes that the store made before this time.
  TimePoint as_of;
  // The store, or a peer that it responds to, can provide a newer list.
  bool can_be_updated = false;
  // When this instance sent the last request that the store has answered. The
  // time of the answer is of no use: a long poll that began before an outage
  // may end during it.
  TimePoint store_answered;
};

// Returns the time from which no run may start, as the list may then miss that
// an upstream is shutting down; `TimePoint::max()` if there is no such time.
//
// A store that is unreachable for all instances accepts no announcements
// either, so a list that was up to date when the store stopped responding stays
// in use. One that lagged may miss announcements that the store had accepted
// before.
TimePoint StartLimit(const StartLimitOptions& options,
                     const UpstreamListState& list,
                     TimePoint now);

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_START_LIMIT_H_
