// Learned run times of one request kind.
#ifndef JAYPICK_INTERNAL_RUN_TIME_ESTIMATOR_H_
#define JAYPICK_INTERNAL_RUN_TIME_ESTIMATOR_H_

#include <cstdint>

#include "jaypick/time.h"

namespace jaypick::internal {

// Mean and 99th percentile of a kind's run times.
//
// Starts from the declared run time, which may be off by ten, and forgets it
// after a few samples.
class RunTimeEstimator {
 public:
  explicit RunTimeEstimator(Duration declared);

  // Records the run time of one attempt that succeeded.
  void Record(Duration run_time);

  Duration mean() const;
  Duration p99() const;
  std::uint64_t samples() const;

 private:
  Duration mean_;
  Duration p99_;
  std::uint64_t samples_ = 0;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_RUN_TIME_ESTIMATOR_H_
