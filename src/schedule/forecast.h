// Forecast of when waiting jobs will end if no other job arrives.
#ifndef JAYPICK_SCHEDULE_FORECAST_H_
#define JAYPICK_SCHEDULE_FORECAST_H_

#include <cstdint>
#include <vector>

#include "jaypick/time.h"

namespace jaypick::schedule {

// List scheduling over the times at which slots become free.
//
// A slot is capacity for one task of typical size. The forecast is optimistic,
// as it ignores capacity that is lost to imperfect packing; callers leave a
// margin for this.
class Forecast {
 public:
  // `free_at` has one entry for each slot; times in the past count as now.
  Forecast(std::vector<TimePoint> free_at, TimePoint now);

  // Assigns `tasks` tasks of `run_time` to the earliest slots.
  //
  // Returns when the last one ends; `TimePoint::max()` if there is no slot.
  TimePoint Add(std::uint32_t tasks, Duration run_time);

  // Time at which the next slot is free.
  TimePoint next_free() const;

 private:
  // Min-heap.
  std::vector<TimePoint> free_at_;
};

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_FORECAST_H_
