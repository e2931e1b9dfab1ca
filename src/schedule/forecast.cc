#include "schedule/forecast.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace jaypick::schedule {

Forecast::Forecast(std::vector<TimePoint> free_at, TimePoint now)
    : free_at_(std::move(free_at)) {
  for (TimePoint& time : free_at_) {
    time = std::max(time, now);
  }
  std::ranges::make_heap(free_at_, std::greater<>());
}

TimePoint Forecast::Add(std::uint32_t tasks, Duration run_time) {
  if (free_at_.empty()) {
    return TimePoint::max();
  }
  TimePoint end;
  for (std::uint32_t task = 0; task < tasks; ++task) {
    std::ranges::pop_heap(free_at_, std::greater<>());
    free_at_.back() += run_time;
    end = std::max(end, free_at_.back());
    std::ranges::push_heap(free_at_, std::greater<>());
  }
  return end;
}

TimePoint Forecast::next_free() const {
  return free_at_.empty() ? TimePoint::max() : free_at_.front();
}

}  // namespace jaypick::schedule
