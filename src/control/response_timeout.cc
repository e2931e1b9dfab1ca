#include "control/response_timeout.h"

#include <algorithm>
#include <cmath>

namespace jaypick::control {
namespace {

// Weights of the newest sample, and the factor of the mean deviation (RFC
// 6298).
constexpr double kSmoothedWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kDeviationFactor = 4;
// Timeouts in a row after which the timeout doubles. Requests go to many
// upstreams at once, so a few lost ones in a row are more likely than a slow
// path.
constexpr std::uint32_t kTimeoutsPerDoubling = 4;
constexpr std::uint32_t kMaxDoublings = 4;
// Event loop iterations from a request to its response on a new connection.
constexpr int kLoopIterations = 3;
// Weight of the newest request: about the last hundred requests count.
constexpr double kLossWeight = 0.02;

}  // namespace

void ResponseTimeoutEstimator::OnTimeout() {
  ++consecutive_timeouts_;
  loss_fraction_ += kLossWeight * (1 - loss_fraction_);
}

void ResponseTimeoutEstimator::OnPoll(bool is_answered) {
  loss_fraction_ += kLossWeight * ((is_answered ? 0 : 1) - loss_fraction_);
}

Duration ResponseTimeoutEstimator::PollWait(Duration requested_wait) const {
  return loss_fraction_ > options_.loss_threshold
             ? std::min(requested_wait, options_.lossy_poll_wait)
             : requested_wait;
}

void ResponseTimeoutEstimator::OnResponse(Duration took) {
  consecutive_timeouts_ = 0;
  loss_fraction_ -= kLossWeight * loss_fraction_;
  const auto sample = static_cast<double>(took.count());
  if (!has_sample_) {
    has_sample_ = true;
    smoothed_ = sample;
    deviation_ = sample / 2;
    return;
  }
  deviation_ += kDeviationWeight * (std::abs(sample - smoothed_) - deviation_);
  smoothed_ += kSmoothedWeight * (sample - smoothed_);
}

Duration ResponseTimeoutEstimator::Timeout(Duration lag) const {
  const Duration loop_delay = kLoopIterations * lag;
  if (!has_sample_) {
    return options_.longest + loop_delay;
  }
  const Duration expected(
      static_cast<Duration::rep>(smoothed_ + kDeviationFactor * deviation_));
  const std::uint32_t doublings =
      std::min(consecutive_timeouts_ / kTimeoutsPerDoubling, kMaxDoublings);
  return std::min(std::max(expected, options_.shortest) * (1U << doublings),
                  options_.longest) +
         loop_delay;
}

}  // namespace jaypick::control
