// Monotonic clock of the process.
#ifndef JAYPICK_DAEMON_CLOCK_H_
#define JAYPICK_DAEMON_CLOCK_H_

#include <memory>

#include "jaypick/time.h"

struct evutil_monotonic_timer;

namespace jaypick::daemon {

// Reads `evutil_gettime_monotonic` at full precision. Readings never decrease.
class MonotonicClock {
 public:
  MonotonicClock();
  ~MonotonicClock();
  MonotonicClock(const MonotonicClock&) = delete;
  MonotonicClock& operator=(const MonotonicClock&) = delete;

  TimePoint Now();

 private:
  evutil_monotonic_timer* timer_;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_CLOCK_H_
