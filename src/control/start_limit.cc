#include "control/start_limit.h"

namespace jaypick::control {

TimePoint StartLimit(const StartLimitOptions& options,
                     const UpstreamListState& list,
                     TimePoint now) {
  const bool waits_for_first_read =
      list.claimed_at &&
      *list.claimed_at - list.as_of > options.max_age_at_claim &&
      now - *list.claimed_at < options.max_hold;
  if (!list.can_be_updated && !waits_for_first_read) {
    return TimePoint::max();
  }
  return list.as_of + options.upstream_notice - options.margin;
}

}  // namespace jaypick::control
