// Token budget that limits retries.
#ifndef JAYPICK_INTERNAL_RETRY_BUDGET_H_
#define JAYPICK_INTERNAL_RETRY_BUDGET_H_

namespace jaypick {

struct RetryOptions {
  // Tokens added by the first attempt of each task.
  double ratio = 0.1;
  // Maximum and initial number of tokens.
  double burst = 20;
  // Maximum number of attempts of one task with a lost outcome.
  unsigned max_attempts = 4;
};

namespace internal {

// Token bucket that limits retries to a fraction of first attempts, so that
// unhealthy upstreams do not cause a retry storm. First attempts add tokens,
// retries take them.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryOptions& options);

  void OnFirstAttempt();

  // Takes one token. Returns false and takes nothing if there is less than one.
  bool TryTake();

  double tokens() const { return tokens_; }

 private:
  double ratio_;
  double burst_;
  double tokens_;
};

}  // namespace internal
}  // namespace jaypick

#endif  // JAYPICK_INTERNAL_RETRY_BUDGET_H_
