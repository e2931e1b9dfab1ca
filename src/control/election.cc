#include "control/election.h"

#include <algorithm>

namespace jaypick::command {

std::string_view ToString(HolderState state) {
  switch (state) {
    case HolderState::kNone:
      return "none";
    case HolderState::kAlive:
      return "alive";
    case HolderState::kLeaving:
      return "leaving";
    case HolderState::kGone:
      return "gone";
    case HolderState::kSilent:
      break;
  }
  return "silent";
}

Duration SizeDelay(const SizeDelayOptions& options,
                   double processor_share,
                   std::optional<double> last_holder_share) {
  const bool is_last_known = last_holder_share && *last_holder_share > 0;
  const double wanted = is_last_known
                            ? std::min(*last_holder_share, options.full_share)
                            : options.full_share;
  const double missing = 1 - std::min(processor_share, wanted) / wanted;
  return Duration(static_cast<Duration::rep>(
      missing * static_cast<double>(options.longest.count())));
}

bool ShouldTakeCommand(const ElectionOptions& options,
                       const ElectionView& view) {
  if (view.is_draining || view.is_holder) {
    return false;
  }
  const Duration delay =
      (view.is_home ? options.home_delay : options.other_delay) + view.rank;
  switch (view.holder) {
    case HolderState::kAlive:
      return false;
    case HolderState::kSilent:
      return !view.has_record && view.path >= options.path_proof &&
             view.since >= delay + options.silent_delay;
    case HolderState::kLeaving:
    case HolderState::kGone:
      return view.since >= delay;
    case HolderState::kNone:
      break;
  }
  return !view.has_record && view.since >= delay;
}

}  // namespace jaypick::command
