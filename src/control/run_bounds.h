// Bounds of the time for which runs are active after nobody waits for them.
#ifndef JAYPICK_CONTROL_RUN_BOUNDS_H_
#define JAYPICK_CONTROL_RUN_BOUNDS_H_

#include "control/forwarding_lease.h"
#include "jaypick/time.h"

namespace jaypick::control {

// Fraction by which the clock of an upstream may run slow.
inline constexpr double kUpstreamClockError = 0.02;
// Margin over a lease for rounding to whole milliseconds.
inline constexpr Duration kLeaseMargin = std::chrono::milliseconds(10);

// Time after which a lease has expired, also on a slow clock.
inline Duration LongestLease(Duration lease) {
  return Duration(static_cast<Duration::rep>(
             static_cast<double>(lease.count()) / (1 - kUpstreamClockError))) +
         kLeaseMargin;
}

// Time from the decision of a leader to stop a run to the end of the run. If no
// stop is carried out, the run ends with its lease, which is not extended from
// the decision on.
inline Duration LongestStop(Duration lease) {
  return LongestLease(lease);
}

// Time from the moment at which an instance gives up a job that it has
// forwarded to the end of the job's last run. If the leader does not hear of
// it, the job ends with its forwarding lease.
inline Duration LongestRunAfterGivingUp(Duration lease) {
  return kForwardingLease + kForwardingLeaseCheck + LongestStop(lease);
}

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_RUN_BOUNDS_H_
