// Estimate of the run times of one kind.
#ifndef JAYPICK_INTERNAL_RUN_TIME_ESTIMATOR_H_
#define JAYPICK_INTERNAL_RUN_TIME_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>

#include <boost/circular_buffer.hpp>

#include "jaypick/time.h"

namespace jaypick::internal {

// Mean and 99th percentile of a kind's run times.
//
// The initial estimate is the declared run time, which may be wrong by a factor
// of 10. Its weight becomes negligible after a few samples.
class RunTimeEstimator {
 public:
  explicit RunTimeEstimator(Duration declared);

  // Records the run time of an attempt that succeeded, or the time after which
  // an attempt timed out.
  void Record(Duration run_time);

  Duration mean() const;
  Duration p99() const;
  std::uint64_t samples() const;

  // True after `kLearnedSamples` samples.
  bool is_learned() const;

  // Number of most recent run times from which p99 is computed.
  static constexpr std::size_t kWindow = 512;
  // Samples after which the declared run time contributes less than 5% to the
  // mean.
  static constexpr std::uint64_t kLearnedSamples = 6;

 private:
  Duration ComputeP99() const;

  Duration mean_;
  Duration p99_;
  double mean_us_ = 0;
  std::uint64_t samples_ = 0;
  boost::circular_buffer<Duration> recent_;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_RUN_TIME_ESTIMATOR_H_
