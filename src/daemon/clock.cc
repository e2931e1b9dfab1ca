#include "daemon/clock.h"

#include <event2/util.h>
#include <sys/time.h>

#include <chrono>
#include <stdexcept>

namespace jaypick::daemon {

MonotonicClock::MonotonicClock() : timer_(evutil_monotonic_timer_new()) {
  if (timer_ == nullptr ||
      evutil_configure_monotonic_time(timer_, EV_MONOT_PRECISE) != 0) {
    throw std::runtime_error("cannot initialize the monotonic clock");
  }
}

MonotonicClock::~MonotonicClock() {
  evutil_monotonic_timer_free(timer_);
}

TimePoint MonotonicClock::Now() {
  timeval time{};
  evutil_gettime_monotonic(timer_, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::microseconds(time.tv_usec));
}

}  // namespace jaypick::daemon
