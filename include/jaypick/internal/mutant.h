// Guards that tests remove, to show that a violation would be noticed.
#ifndef JAYPICK_INTERNAL_MUTANT_H_
#define JAYPICK_INTERNAL_MUTANT_H_

namespace jaypick::internal {

// A dispatcher with one guard removed. Only tests set another value than
// `kNone`; the daemon has no setting for it.
enum class Mutant {
  kNone,
  // An id that was closed may be submitted again.
  kReopenClosedId,
  // A keyed submission starts before its claim has settled.
  kStartWithoutClaim,
  // A lost attempt is repeated also for kinds that are not idempotent.
  kRetryAnyKind,
  // A job is answered when one of its tasks has no result yet.
  kPartialAnswer,
  // Answers are accepted for any attempt of the task.
  kAcceptStaleAnswer,
  // Jobs have no deadline.
  kIgnoreDeadline,
  // The leaving state of upstreams is ignored.
  kStartOnLeaving,
  // Any offered configuration is taken over.
  kConfigurationGoesBack,
  // Failed jobs always say that they did not run.
  kAlwaysNotRun,
  // Draining ends while jobs are active.
  kDrainCutsOff,
  // The incarnation of an id is not compared.
  kIgnoreIncarnation,
  // Jobs whose attempts are still out are answered with `failed`.
  kUnknownIsFailed,
  // Calls that were closed or answered get answers.
  kAnswerClosedCalls,
  // Only the first caller that waits for a job is answered.
  kOneWaiter,
  // The first configuration stays in force.
  kKeepFirstConfiguration,
  // Of two configurations with one version, each entry keeps its own.
  kCompareVersionOnly,
  // The first instance list stays in force.
  kKeepFirstInstances,
  // Repeated placements take no token.
  kUnlimitedRetries,
  // Draining waits for ever.
  kDrainNeverEnds,
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_MUTANT_H_
