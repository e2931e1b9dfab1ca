#include "jaypick/internal/run_time_estimator.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace jaypick::internal {
namespace {

// Weight of a new sample once many were seen; a change of the run time is
// followed within a few hundred samples.
constexpr double kLeastMeanWeight = 0.01;

// Samples between two readings of p99; early ones count each.
constexpr std::uint64_t kReadingInterval = 16;
constexpr std::uint64_t kEarlySamples = 64;

// Until run times were seen, p99 is taken as this multiple of the declared one;
// most kinds have a tail of several times their usual run time.
constexpr int kDeclaredTail = 4;

// Part of the run times that p99 leaves above.
constexpr std::size_t kOneOf = 100;

}  // namespace

RunTimeEstimator::RunTimeEstimator(Duration declared)
    : mean_(declared), p99_(declared * kDeclaredTail), newest_(kWindow) {}

void RunTimeEstimator::Record(Duration run_time) {
  ++samples_;
  // The declared value's part in the mean is 2 / ((n + 1) (n + 2)) after n
  // samples: 5% after 5.
  const double weight =
      std::max(kLeastMeanWeight, 2 / (static_cast<double>(samples_) + 2));
  mean_us_ = samples_ == 1 ? static_cast<double>(mean_.count()) : mean_us_;
  mean_us_ += weight * (static_cast<double>(run_time.count()) - mean_us_);
  mean_ = Duration(static_cast<std::int64_t>(mean_us_));
  newest_.push_back(run_time);
  if (samples_ < kEarlySamples || samples_ % kReadingInterval == 0) {
    p99_ = ReadP99();
  }
}

Duration RunTimeEstimator::ReadP99() const {
  std::vector<Duration> sorted(newest_.begin(), newest_.end());
  const auto place =
      sorted.end() - 1 - static_cast<std::ptrdiff_t>(sorted.size() / kOneOf);
  std::nth_element(sorted.begin(), place, sorted.end());
  return *place;
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
