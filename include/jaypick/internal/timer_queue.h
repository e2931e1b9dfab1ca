// Deadlines of jobs and timeouts of attempts, ordered by time.
#ifndef JAYPICK_INTERNAL_TIMER_QUEUE_H_
#define JAYPICK_INTERNAL_TIMER_QUEUE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <queue>
#include <variant>
#include <vector>

#include "jaypick/time.h"

namespace jaypick::internal {

// The deadline of a job.
struct JobDeadline {
  std::uint64_t counter = 0;

  friend auto operator<=>(const JobDeadline&, const JobDeadline&) = default;
};

// The timeout of an attempt.
struct AttemptTimeout {
  std::uint64_t counter = 0;
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;

  friend auto operator<=>(const AttemptTimeout&,
                          const AttemptTimeout&) = default;
};

using Timer = std::variant<JobDeadline, AttemptTimeout>;

// Min-heap of timers. Timers cannot be cancelled; handlers must check whether
// an expired timer still applies.
class TimerQueue {
 public:
  void Add(TimePoint when, Timer timer) { heap_.push({when, timer}); }

  // Removes and returns the earliest timer if it is due at `now`.
  std::optional<Timer> PopDue(TimePoint now) {
    if (heap_.empty() || heap_.top().when > now) {
      return std::nullopt;
    }
    const Timer timer = heap_.top().timer;
    heap_.pop();
    return timer;
  }

  std::optional<TimePoint> next() const {
    if (heap_.empty()) {
      return std::nullopt;
    }
    return heap_.top().when;
  }

 private:
  struct Entry {
    TimePoint when;
    Timer timer;

    friend auto operator<=>(const Entry&, const Entry&) = default;
  };

  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> heap_;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_TIMER_QUEUE_H_
