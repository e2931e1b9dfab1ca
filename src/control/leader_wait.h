// Jobs that arrive while the whole system restarts, before domains have
// leaders.
#ifndef JAYPICK_CONTROL_LEADER_WAIT_H_
#define JAYPICK_CONTROL_LEADER_WAIT_H_

#include "jaypick/time.h"

namespace jaypick::control {

struct LeaderWaitOptions {
  // After a power loss all instances start within a second and elect leaders
  // right away. Later, a domain without a leader is out of service.
  Duration longest_uptime = std::chrono::seconds(2);
  // Long enough for an election, and short compared with the time that most
  // callers wait.
  Duration longest_wait = std::chrono::milliseconds(250);
};

struct LeaderWaitInput {
  // Time since this instance started.
  Duration uptime{0};
  // Time since the job arrived.
  Duration waited{0};
  // Time until the job's deadline.
  Duration time_left{0};
};

// Returns true if a job should wait for the leader of the instance's domain
// rather than be refused or go to the first domain that has a leader. Callers
// return all at once after a power loss; those that come a moment too early
// would be refused, and the first leader would get the jobs of all domains.
bool ShouldWaitForLeader(const LeaderWaitOptions& options,
                         const LeaderWaitInput& input);

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_LEADER_WAIT_H_
