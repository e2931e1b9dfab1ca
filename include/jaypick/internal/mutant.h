// Deliberate defects with which tests verify that violations are detected.
#ifndef JAYPICK_INTERNAL_MUTANT_H_
#define JAYPICK_INTERNAL_MUTANT_H_

namespace jaypick::internal {

// A deliberate defect of the dispatcher, with which tests verify that the
// checks detect it. Production code always uses `kNone`; the daemon has no
// setting for it.
enum class Mutant {
  kNone,
  // An id that was closed may be submitted again.
  kReopenClosedId,
  // A submission by key starts tasks before its claim is confirmed.
  kStartWithoutClaim,
  // Lost attempts are retried for non-idempotent kinds, too.
  kRetryAnyKind,
  // A job is answered as complete while one of its tasks has no result.
  kPartialAnswer,
  // Responses to any attempt of a task are accepted, not only to the current
  // one.
  kAcceptStaleResponse,
  // Deadlines of jobs are not enforced.
  kIgnoreDeadline,
  // The leaving state of upstreams is ignored.
  kStartOnLeaving,
  // Older configurations replace newer ones.
  kConfigurationGoesBack,
  // Failed jobs are always reported as `not_run`.
  kAlwaysNotRun,
  // Draining finishes while jobs are active.
  kDrainCutsOff,
  // Ids issued by other incarnations of this entry are treated as own ids.
  kIgnoreIncarnation,
  // Failed jobs whose attempts may still be running are reported as `failed`
  // instead of `unknown`.
  kUnknownIsFailed,
  // Calls that are closed or already answered are answered.
  kAnswerClosedCalls,
  // Of several callers that wait for one job, only the first is answered.
  kOneWaiter,
  // The first configuration is never replaced.
  kKeepFirstConfiguration,
  // Configurations with the same version are considered equal, so that entries
  // may keep different ones.
  kCompareVersionOnly,
  // The first instance list is never replaced.
  kKeepFirstInstances,
  // Retries do not need a token of the retry budget.
  kUnlimitedRetries,
  // Draining never finishes.
  kDrainNeverEnds,
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_MUTANT_H_
