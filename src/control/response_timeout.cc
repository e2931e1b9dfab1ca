#include "control/response_timeout.h"

#include <algorithm>
#include <cmath>

namespace jaypick::control {
namespace {

// Weights of the newest sample, and the factor of the deviation (RFC 6298).
constexpr double kSmoothedWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kDeviations = 4;
// Orders are sent to many upstreams at once; a few lost ones in a row are more
// likely than a slow path.
constexpr std::uint32_t kSilencesPerDoubling = 4;
constexpr std::uint32_t kDoublings = 4;
// Turns of the event loop from a call to its answer on a new connection.
constexpr int kTurns = 3;
// About the last hundred calls count.
constexpr double kLossWeight = 0.02;

}  // namespace

void ResponseTimeoutEstimator::OnTimeout() {
  ++silences_in_row_;
  loss_ += kLossWeight * (1 - loss_);
}

void ResponseTimeoutEstimator::OnPoll(bool is_answered) {
  loss_ += kLossWeight * ((is_answered ? 0 : 1) - loss_);
}

Duration ResponseTimeoutEstimator::PollWait(Duration wanted) const {
  return loss_ > options_.loss_threshold
             ? std::min(wanted, options_.lossy_poll_wait)
             : wanted;
}

void ResponseTimeoutEstimator::OnResponse(Duration took) {
  silences_in_row_ = 0;
  loss_ -= kLossWeight * loss_;
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
  const Duration own_delay = kTurns * lag;
  if (!has_sample_) {
    return options_.longest + own_delay;
  }
  const Duration expected(
      static_cast<Duration::rep>(smoothed_ + kDeviations * deviation_));
  const std::uint32_t doublings =
      std::min(silences_in_row_ / kSilencesPerDoubling, kDoublings);
  return std::min(std::max(expected, options_.shortest) * (1U << doublings),
                  options_.longest) +
         own_delay;
}

}  // namespace jaypick::control
