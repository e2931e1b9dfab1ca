#include "jaypick/internal/run_time_estimator.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace jaypick::internal {
namespace {

// Weight of a new sample in the mean after many samples. With 1%, the mean
// follows a change of the run time within a few hundred samples.
constexpr double kMinSampleWeight = 0.01;

// Samples after which p99 is recomputed. During the warm-up it is recomputed
// with each sample.
constexpr std::uint64_t kP99UpdateInterval = 16;
constexpr std::uint64_t kP99WarmUpSamples = 64;

// Ratio of p99 to the mean that is assumed during the warm-up. Most kinds have
// a tail of several times their usual run time.
constexpr int kP99ToMeanRatio = 4;

// One in this many run times is above p99.
constexpr std::size_t kSamplesPerOutlier = 100;

}  // namespace

RunTimeEstimator::RunTimeEstimator(Duration declared)
    : mean_(declared), p99_(declared * kP99ToMeanRatio), recent_(kWindow) {}

void RunTimeEstimator::Record(Duration run_time) {
  ++samples_;
  // With this weight the declared run time contributes 2 / ((n + 1) (n + 2)) to
  // the mean after n samples, which is 5% after 5 samples.
  const double weight =
      std::max(kMinSampleWeight, 2 / (static_cast<double>(samples_) + 2));
  mean_us_ = samples_ == 1 ? static_cast<double>(mean_.count()) : mean_us_;
  mean_us_ += weight * (static_cast<double>(run_time.count()) - mean_us_);
  mean_ = Duration(static_cast<std::int64_t>(mean_us_));
  recent_.push_back(run_time);
  if (samples_ < kP99WarmUpSamples || samples_ % kP99UpdateInterval == 0) {
    p99_ = ComputeP99();
  }
}

Duration RunTimeEstimator::ComputeP99() const {
  std::vector<Duration> sorted(recent_.begin(), recent_.end());
  const auto position =
      sorted.end() - 1 -
      static_cast<std::ptrdiff_t>(sorted.size() / kSamplesPerOutlier);
  std::nth_element(sorted.begin(), position, sorted.end());
  return *position;
}

Duration RunTimeEstimator::mean() const {
  return mean_;
}

Duration RunTimeEstimator::p99() const {
  // The maximum of a few samples is likely to be below p99, so the estimate is
  // at least a multiple of the mean.
  if (samples_ < kP99WarmUpSamples) {
    return std::max(p99_, mean_ * kP99ToMeanRatio);
  }
  return p99_;
}

std::uint64_t RunTimeEstimator::samples() const {
  return samples_;
}

bool RunTimeEstimator::is_learned() const {
  return samples_ >= kLearnedSamples;
}

}  // namespace jaypick::internal
