// Durations and time points of the runtime's monotonic clock.
#ifndef JAYPICK_TIME_H_
#define JAYPICK_TIME_H_

#include <chrono>
#include <cstdint>

namespace jaypick {

using Duration = std::chrono::microseconds;

// The runtime's monotonic clock.
//
// It has no `now()`: the dispatching code receives the time with each event, so
// it works with the clock of the event loop and with a simulated clock.
struct RuntimeClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock, Duration>;
  static constexpr bool is_steady = true;
};

using TimePoint = RuntimeClock::time_point;

// Whole milliseconds of `duration`, rounded down.
constexpr std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace jaypick

#endif  // JAYPICK_TIME_H_
