#include "jaypick/internal/retry_budget.h"

#include <algorithm>

namespace jaypick::internal {

RetryBudget::RetryBudget(const RetryOptions& options)
    : ratio_(options.ratio), burst_(options.burst), tokens_(options.burst) {}

void RetryBudget::OnFirstAttempt() {
  tokens_ = std::min(burst_, tokens_ + ratio_);
}

bool RetryBudget::TryTake() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace jaypick::internal
