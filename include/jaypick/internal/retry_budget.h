// Budget of placements after the first one.
#ifndef JAYPICK_INTERNAL_RETRY_BUDGET_H_
#define JAYPICK_INTERNAL_RETRY_BUDGET_H_

namespace jaypick {

struct RetryOptions {
  // Tokens that each first start earns.
  double ratio = 0.1;
  // Tokens held at most, and at the start.
  double burst = 20;
  // Attempts of one task at most.
  unsigned max_attempts = 4;
};

namespace internal {

// Token bucket that first starts fill and repeated placements empty, so that a
// sick upstream does not multiply load.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryOptions& options);

  void OnFirstStart();

  // Takes a token. Returns false, and takes nothing, if less than one is left.
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
