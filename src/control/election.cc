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
                             std::optional<double> last_leader_share) {
  const bool is_last_share_known = last_leader_share && *last_leader_share > 0;
  const double sufficient_share =
      is_last_share_known ? std::min(*last_leader_share, options.no_delay_share)
                          : options.no_delay_share;
  const double missing_fraction =
      1 - std::min(processor_share, sufficient_share) / sufficient_share;
  return Duration(static_cast<Duration::rep>(
      missing_fraction * static_cast<double>(options.longest.count())));
}

Duration ElectionDelay(const ElectionOptions& options,
                       const ElectionInput& input) {
  if (input.is_in_domain) {
    return options.in_domain_delay + input.rank_delay;
  }
  const Duration outsider_delay =
      input.leads_other_domain ? Duration(0) : options.outsider_delay;
  return options.other_domain_delay + outsider_delay + input.rank_delay;
}

bool ShouldTakeLeadership(const ElectionOptions& options,
                          const ElectionInput& input) {
  if (input.is_draining || input.is_leader) {
    return false;
  }
  const Duration delay = ElectionDelay(options, input);
  switch (input.leader_state) {
    case LeaderState::kAlive:
      return false;
    case LeaderState::kSilent:
      return !input.has_record && input.record_absent_for >= delay &&
             input.reachable_for >= options.min_reachable_time &&
             input.state_age >= delay + options.silent_delay;
    case LeaderState::kLeaving:
    case LeaderState::kGone:
      return input.state_age >= delay;
    case LeaderState::kNone:
      break;
  }
  return !input.has_record && input.record_absent_for >= delay;
}

}  // namespace jaypick::control
