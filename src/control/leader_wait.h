// Jobs that arrive while their domain has no leader.
#ifndef JAYPICK_CONTROL_LEADER_WAIT_H_
#define JAYPICK_CONTROL_LEADER_WAIT_H_

#include "jaypick/time.h"

namespace jaypick::control {

struct LeaderWaitOptions {
  // A domain that has been without a leader for longer than an election takes
  // is out of service.
  Duration longest_absence = std::chrono::seconds(2);
  // Long enough for an election, and short compared with the time that most
  // callers wait.
  Duration longest_wait = std::chrono::milliseconds(250);
};

struct LeaderWaitInput {
  // How long the domain has had no leader that this instance can reach.
  Duration absence{0};
  // Time since the job arrived.
  Duration waited{0};
  // Time until the job's deadline.
  Duration time_left{0};
};

// Returns true if a job should wait for the leader of the instance's domain
// rather than be refused. Callers return all at once after a power loss; those
// that come a moment too early would be refused.
bool ShouldWaitForLeader(const LeaderWaitOptions& options,
                         const LeaderWaitInput& input);

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_LEADER_WAIT_H_
