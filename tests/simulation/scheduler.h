// Virtual clock, event loop and seeded random numbers of the simulation.
#ifndef JAYPICK_TESTS_SIMULATION_SCHEDULER_H_
#define JAYPICK_TESTS_SIMULATION_SCHEDULER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <utility>
#include <vector>

#include "jaypick/time.h"

namespace jaypick::simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs tasks in the order of their virtual time, and those with equal times in
// the order in which they were scheduled.
class Scheduler {
 public:
  using Callback = std::function<void()>;

  TimePoint now() const { return now_; }
  // Number of tasks run so far.
  std::uint64_t step() const { return step_; }

  void After(Duration delay, Callback callback) {
    heap_.push_back({now_ + delay, next_order_++, std::move(callback)});
    std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
  }

  // Advances to the next task and runs it. Returns false if there is none.
  bool RunNext() {
    if (heap_.empty()) {
      return false;
    }
    std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
    const ScheduledTask task = std::move(heap_.back());
    heap_.pop_back();
    now_ = task.when;
    ++step_;
    task.callback();
    return true;
  }

 private:
  struct ScheduledTask {
    TimePoint when;
    std::uint64_t order = 0;
    Callback callback;

    friend bool operator>(const ScheduledTask& left,
                          const ScheduledTask& right) {
      return std::pair(left.when, left.order) >
             std::pair(right.when, right.order);
    }
  };

  std::vector<ScheduledTask> heap_;
  TimePoint now_{seconds(1000)};
  std::uint64_t step_ = 0;
  std::uint64_t next_order_ = 0;
};

// All random choices of a run come from this one engine, so that a run can be
// reproduced from its seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Next() { return engine_(); }

  bool Chance(double probability) {
    return static_cast<double>(engine_() >> 11U) * 0x1.0p-53 < probability;
  }

  // A number from `low` to `high`, both included.
  std::int64_t Between(std::int64_t low, std::int64_t high) {
    const auto range = static_cast<std::uint64_t>(high - low) + 1;
    return low + static_cast<std::int64_t>(engine_() % range);
  }

  Duration Span(Duration low, Duration high) {
    return Duration(Between(low.count(), high.count()));
  }

  template <typename Container>
  auto& Pick(Container& container) {
    return container[engine_() % std::size(container)];
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_SCHEDULER_H_
