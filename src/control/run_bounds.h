// Bounds of the time for which runs are active after nobody waits for them.
#ifndef JAYPICK_CONTROL_RUN_BOUNDS_H_
#define JAYPICK_CONTROL_RUN_BOUNDS_H_

#include <algorithm>

#include "jaypick/time.h"

namespace jaypick::control {

// Fraction by which the clock of an upstream may run slow.
inline constexpr double kUpstreamClockError = 0.02;
// Margin over a lease for rounding to whole milliseconds.
inline constexpr Duration kLeaseMargin = std::chrono::milliseconds(10);

// A caller whose connection broke may submit its job again after this time, to
// any instance.
inline constexpr Duration kResubmissionDelay = std::chrono::milliseconds(1300);
// For the way of the first submission, and for ends of connections that are
// read late.
inline constexpr Duration kResubmissionMargin = std::chrono::milliseconds(100);

// A job is attended at a time at which somebody is known to wait for it. No run
// is active this long after its job was attended last, whichever messages are
// lost and whichever processes end.
inline constexpr Duration kLongestUnattendedRun =
    kResubmissionDelay - kResubmissionMargin;

// No run starts this long after its job was attended last: more than one
// interval of pings, which show that forwarded jobs are attended.
inline constexpr Duration kLongestUnattendedStart =
    std::chrono::milliseconds(350);

// Time after which a lease has expired, also on a slow clock.
inline Duration LongestLease(Duration lease) {
  return Duration(static_cast<Duration::rep>(
             static_cast<double>(lease.count()) / (1 - kUpstreamClockError))) +
         kLeaseMargin;
}

// The longest lease, on the upstream's clock, that has expired after `time`;
// the inverse of `LongestLease`. Zero or less if there is none.
inline Duration LeaseWithin(Duration time) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>((time - kLeaseMargin).count()) *
      (1 - kUpstreamClockError)));
}

// The lease of runs at an upstream that grants `longest_granted` at most. It is
// short enough that a run which joins others under their lease ends in time.
inline Duration RunLease(Duration longest_granted) {
  return std::min(longest_granted,
                  LeaseWithin(kLongestUnattendedRun - kLongestUnattendedStart));
}

// Time from the decision of a leader to stop a run to the end of the run. If no
// stop is carried out, the run ends with its lease, which is not extended from
// the decision on.
inline Duration LongestStop(Duration lease) {
  return LongestLease(lease);
}

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_RUN_BOUNDS_H_
