#include "jaypick/internal/run_time_estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace jaypick::internal {
namespace {

// Weight of a new sample once many were seen; a change of the run time is
// followed within a few hundred samples.
constexpr double kLeastMeanWeight = 0.01;

// Sum of bucket counts at which all counts are halved, so that old samples
// fade.
constexpr float kHistogramLimit = 4096;

// Samples between two readings of the histogram; early ones count each.
constexpr std::uint64_t kReadingInterval = 16;
constexpr std::uint64_t kEarlySamples = 64;

// Until run times were seen, p99 is taken as this multiple of the declared one;
// most kinds have a tail of several times their usual run time.
constexpr int kDeclaredTail = 4;

constexpr std::int64_t kSmallest = 64;
constexpr int kSmallestLog = 6;
constexpr std::size_t kStepsPerOctave = 8;

std::size_t BucketOf(Duration run_time) {
  const std::int64_t value = std::max(kSmallest, run_time.count());
  const double steps = (std::log2(static_cast<double>(value)) - kSmallestLog) *
                       static_cast<double>(kStepsPerOctave);
  return std::min(static_cast<std::size_t>(steps),
                  RunTimeEstimator::kBuckets - 1);
}

// Upper end of a bucket.
Duration UpperEnd(std::size_t bucket) {
  const double octaves =
      static_cast<double>(bucket + 1) / static_cast<double>(kStepsPerOctave);
  return Duration(static_cast<std::int64_t>(std::exp2(octaves + kSmallestLog)));
}

}  // namespace

RunTimeEstimator::RunTimeEstimator(Duration declared)
    : mean_(declared), p99_(declared * kDeclaredTail) {}

void RunTimeEstimator::Record(Duration run_time) {
  ++samples_;
  // The declared value's part in the mean is 2 / ((n + 1) (n + 2)) after n
  // samples: 5% after 5.
  const double weight =
      std::max(kLeastMeanWeight, 2 / (static_cast<double>(samples_) + 2));
  mean_us_ = samples_ == 1 ? static_cast<double>(mean_.count()) : mean_us_;
  mean_us_ += weight * (static_cast<double>(run_time.count()) - mean_us_);
  mean_ = Duration(static_cast<std::int64_t>(mean_us_));
  RecordInHistogram(run_time);
  if (samples_ < kEarlySamples || samples_ % kReadingInterval == 0) {
    p99_ = ReadP99();
  }
}

void RunTimeEstimator::RecordInHistogram(Duration run_time) {
  counts_[BucketOf(run_time)] += 1;
  total_ += 1;
  if (total_ < kHistogramLimit) {
    return;
  }
  total_ = 0;
  for (float& count : counts_) {
    count /= 2;
    total_ += count;
  }
}

Duration RunTimeEstimator::ReadP99() const {
  const float limit = total_ * 0.01F;
  float above = 0;
  for (std::size_t bucket = kBuckets - 1; bucket > 0; --bucket) {
    above += counts_[bucket];
    if (above > limit) {
      return UpperEnd(bucket);
    }
  }
  return UpperEnd(0);
}

Duration RunTimeEstimator::mean() const {
  return mean_;
}

Duration RunTimeEstimator::p99() const {
  // The largest of a few samples is below p99; the mean's multiple stands in.
  if (samples_ < kEarlySamples) {
    return std::max(p99_, mean_ * kDeclaredTail);
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
