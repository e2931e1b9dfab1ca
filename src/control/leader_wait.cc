#include "control/leader_wait.h"

namespace jaypick::control {

bool ShouldWaitForLeader(const LeaderWaitOptions& options,
                         const LeaderWaitInput& input) {
  return input.absence < options.longest_absence &&
         input.waited < options.longest_wait &&
         input.time_left > options.longest_wait;
}

}  // namespace jaypick::control
