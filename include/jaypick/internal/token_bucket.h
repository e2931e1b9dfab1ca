// Rate limiter based on the runtime's clock.
#ifndef JAYPICK_INTERNAL_TOKEN_BUCKET_H_
#define JAYPICK_INTERNAL_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "jaypick/time.h"

namespace jaypick::internal {

// Token bucket that is refilled with `rate` tokens per second up to `burst`,
// and is initially full.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst)
      : rate_(rate), burst_(burst), tokens_(burst) {}

  // Changes rate and burst; tokens above the new burst are discarded.
  void SetRate(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst);
  }

  bool TryTake(TimePoint now) {
    Refill(now);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  // Time until one token is available.
  Duration TimeUntilToken() const {
    if (tokens_ >= 1 || rate_ <= 0) {
      return Duration(0);
    }
    const std::chrono::duration<double> wait((1 - tokens_) / rate_);
    return std::chrono::ceil<Duration>(wait);
  }

 private:
  void Refill(TimePoint now) {
    const std::chrono::duration<double> passed = now - refilled_;
    tokens_ = std::min(burst_, tokens_ + passed.count() * rate_);
    refilled_ = now;
  }

  double rate_;
  double burst_;
  double tokens_;
  TimePoint refilled_;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_TOKEN_BUCKET_H_
