// What happens to jobs on upstreams that the operators have evacuated.
#ifndef JAYPICK_SCHEDULE_EVACUATION_H_
#define JAYPICK_SCHEDULE_EVACUATION_H_

#include <cstdint>
#include <optional>

#include "jaypick/time.h"

namespace jaypick::schedule {

struct EvacuationOptions {
  // Time in which jobs that have begun may start their remaining tasks. Longer
  // than most jobs last.
  Duration grace = std::chrono::seconds(1);
};

// What happens to a job of which tasks are waiting.
enum class EvacuationVerdict {
  // Its tasks may start.
  kMayStart,
  // Nothing of it has started, so it can run elsewhere.
  kMove,
  // It has begun and cannot end here.
  kGiveUp,
};

// An evacuation of all upstreams of one scheduler. While it is in progress, no
// job begins; those that have begun may start tasks during the grace time.
class Evacuation {
 public:
  explicit Evacuation(EvacuationOptions options = {}) : options_(options) {}

  // Does nothing if an evacuation is in progress.
  void Begin(TimePoint now) { began_ = began_.value_or(now); }
  void End() { began_.reset(); }
  bool is_in_progress() const { return began_.has_value(); }

  // End of the grace time of the evacuation in progress.
  std::optional<TimePoint> grace_end() const {
    return began_ ? std::optional(*began_ + options_.grace) : std::nullopt;
  }

  // True while no task may start, also of jobs that have begun.
  bool PreventsAllStarts(TimePoint now) const {
    return began_ && now >= *grace_end();
  }

  // `starts` is the number of tasks of the job that have started.
  EvacuationVerdict Assess(TimePoint now, std::uint32_t starts) const;

 private:
  EvacuationOptions options_;
  std::optional<TimePoint> began_;
};

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_EVACUATION_H_
