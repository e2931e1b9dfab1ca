#include "control/start_limit.h"

namespace jaypick::control {

TimePoint StartLimit(const StartLimitOptions& options,
                     const UpstreamListState& list,
                     TimePoint now) {
  const bool has_lagged = list.store_answered - list.as_of > options.max_lag;
  const bool is_hold_over = now - list.store_answered >= options.max_hold;
  if (!list.can_be_updated && (!has_lagged || is_hold_over)) {
    return TimePoint::max();
  }
  return list.as_of + options.upstream_notice - options.margin;
}

}  // namespace jaypick::control
