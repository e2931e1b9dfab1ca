#include "control/election.h"

#include <algorithm>

namespace jaypick::control {

std::string_view ToString(LeaderState state) {
  switch (state) {
    case LeaderState::kNone:
      return "none";
    case LeaderState::kAlive:
      return "alive";
    case LeaderState::kLeaving:
      return "leaving";
    case LeaderState::kGone:
      return "gone";
    case LeaderState::kSilent:
      break;
  }
  return "silent";
}

Duration ProcessorShareDelay(const ProcessorShareDelayOptions& options,
                             double processor_share,
                             std::optional<double> last_holder_share) {
  const bool is_last_known = last_holder_share && *last_holder_share > 0;
  const double wanted =
      is_last_known ? std::min(*last_holder_share, options.no_delay_share)
                    : options.no_delay_share;
  const double missing = 1 - std::min(processor_share, wanted) / wanted;
  return Duration(static_cast<Duration::rep>(
      missing * static_cast<double>(options.longest.count())));
}

bool ShouldTakeLeadership(const ElectionOptions& options,
                          const ElectionInput& view) {
  if (view.is_draining || view.is_leader) {
    return false;
  }
  const Duration delay =
      (view.is_in_domain ? options.home_delay : options.other_delay) +
      view.rank_delay;
  switch (view.holder) {
    case LeaderState::kAlive:
      return false;
    case LeaderState::kSilent:
      return !view.has_record &&
             view.reachable_for >= options.min_reachable_time &&
             view.state_age >= delay + options.silent_delay;
    case LeaderState::kLeaving:
    case LeaderState::kGone:
      return view.state_age >= delay;
    case LeaderState::kNone:
      break;
  }
  return !view.has_record && view.state_age >= delay;
}

}  // namespace jaypick::control
