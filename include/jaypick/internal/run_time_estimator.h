// Learned run times of one request kind.
#ifndef JAYPICK_INTERNAL_RUN_TIME_ESTIMATOR_H_
#define JAYPICK_INTERNAL_RUN_TIME_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>

#include <boost/circular_buffer.hpp>

#include "jaypick/time.h"

namespace jaypick::internal {

// Mean and 99th percentile of a kind's run times.
//
// Starts from the declared run time, which may be off by ten, and forgets it
// after a few samples.
class RunTimeEstimator {
 public:
  explicit RunTimeEstimator(Duration declared);

  // Records the run time of one attempt that succeeded, or the time after which
  // one was given up.
  void Record(Duration run_time);

  Duration mean() const;
  Duration p99() const;
  std::uint64_t samples() const;

  // True if enough samples were seen to forget the declared run time.
  bool is_learned() const;

  // Newest run times that p99 is taken from.
  static constexpr std::size_t kWindow = 512;
  // Samples after which the declared run time is less than 5% of the mean.
  static constexpr std::uint64_t kLearnedSamples = 6;

 private:
  Duration ReadP99() const;

  Duration mean_;
  Duration p99_;
  double mean_us_ = 0;
  std::uint64_t samples_ = 0;
  boost::circular_buffer<Duration> newest_;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_RUN_TIME_ESTIMATOR_H_
