// Admission, run-time estimates and the retry budget.
#include <criterion/criterion.h>

#include "jaypick/internal/admission.h"
#include "jaypick/internal/retry_budget.h"
#include "jaypick/internal/run_time_estimator.h"

namespace jaypick::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

AdmissionInput MakeFittingInput() {
  return {.job_tasks = 64,
          .job_bytes = 1000,
          .timeout = seconds(2),
          .mean_run_time = milliseconds(400),
          .p99_run_time = seconds(1),
          .queue_limit = 1000,
          .owner_slots = 40};
}

// Guards against a limit that is not applied, or that refuses a job which fits.
Test(admission, refuses_with_the_reason_that_applies) {
  struct Case {
    const char* name;
    void (*change)(AdmissionInput&);
    std::optional<RefusalReason> expected;
  };
  const Case cases[] = {
      {"fits", [](AdmissionInput&) {}, std::nullopt},
      {"entry full", [](AdmissionInput& i) { i.entry_tasks = 19'937; },
       RefusalReason::kOverloaded},
      {"bytes", [](AdmissionInput& i) { i.owner_bytes = 32U << 20; },
       RefusalReason::kOverloaded},
      {"queue full", [](AdmissionInput& i) { i.queued_of_kind = 937; },
       RefusalReason::kQueueFull},
      {"queue just not full", [](AdmissionInput& i) { i.queued_of_kind = 936; },
       std::nullopt},
      {"backlog", [](AdmissionInput& i) { i.owner_backlog = seconds(60); },
       RefusalReason::kDeadlineUnreachable},
      {"backlog in time",
       [](AdmissionInput& i) { i.owner_backlog = seconds(30); }, std::nullopt},
      {"longest task of the job",
       [](AdmissionInput& i) { i.p99_run_time = seconds(4); },
       RefusalReason::kDeadlineUnreachable},
      {"single task",
       [](AdmissionInput& i) {
         i.p99_run_time = seconds(4);
         i.job_tasks = 1;
       },
       std::nullopt},
      {"no slots",
       [](AdmissionInput& i) {
         i.owner_slots = 0;
         i.owner_backlog = seconds(1);
       },
       RefusalReason::kDeadlineUnreachable},
      {"run time", [](AdmissionInput& i) { i.mean_run_time = seconds(3); },
       RefusalReason::kDeadlineUnreachable},
      {"run time only declared",
       [](AdmissionInput& i) {
         i.mean_run_time = seconds(3);
         i.is_run_time_learned = false;
       },
       std::nullopt},
  };
  for (const Case& c : cases) {
    AdmissionInput input = MakeFittingInput();
    c.change(input);
    const auto refusal = CheckAdmission({}, input);
    cr_assert(refusal.has_value() == c.expected.has_value(), "%s", c.name);
    cr_assert(!refusal || refusal->reason == *c.expected, "%s", c.name);
    cr_assert(!refusal || refusal->retry_after >= milliseconds(100));
  }
}

// Guards against an estimate that keeps a declared run time which is wrong by a
// factor of 10.
Test(admission, replaces_declared_run_time_by_samples) {
  for (const Duration declared :
       {Duration(milliseconds(40)), Duration(seconds(4))}) {
    RunTimeEstimator estimator(declared);
    cr_assert(estimator.mean() == declared);
    for (int i = 0; i < 12; ++i) {
      estimator.Record(milliseconds(400));
    }
    cr_assert(estimator.is_learned());
    cr_assert(abs(ToMilliseconds(estimator.mean()) - 400) < 60);
  }
}

// Guards against a p99 estimate that misses the tail or does not fall again
// after the tail has gone.
Test(admission, p99_follows_the_tail) {
  RunTimeEstimator estimator(milliseconds(100));
  for (int i = 0; i < 2000; ++i) {
    estimator.Record(i % 40 == 0 ? seconds(3) : milliseconds(200));
  }
  cr_assert(estimator.p99() >= seconds(3) && estimator.p99() < seconds(4));
  for (int i = 0; i < 20'000; ++i) {
    estimator.Record(milliseconds(200));
  }
  cr_assert(estimator.p99() < milliseconds(230));
}

// Guards against retries that exceed a tenth of the first attempts.
Test(retry_budget, is_a_fraction_of_first_attempts) {
  RetryBudget budget({.ratio = 0.1, .burst = 2});
  cr_assert(budget.TryTake() && budget.TryTake() && !budget.TryTake());
  for (int i = 0; i < 11; ++i) {
    budget.OnFirstAttempt();
  }
  cr_assert(budget.TryTake() && !budget.TryTake());
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
  }
  cr_assert(budget.tokens() == 2);
}

}  // namespace
}  // namespace jaypick::internal
