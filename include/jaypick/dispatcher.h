// Dispatcher of one entry instance: decides on jobs without doing any I/O.
#ifndef JAYPICK_DISPATCHER_H_
#define JAYPICK_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jaypick/internal/admission.h"
#include "jaypick/internal/mutant.h"
#include "jaypick/internal/retry_budget.h"
#include "jaypick/messages.h"
#include "jaypick/placement.h"
#include "jaypick/time.h"

namespace jaypick {

// Notifications for metrics and logs. The default implementations do nothing.
class DispatchObserver {
 public:
  virtual ~DispatchObserver() = default;

  virtual void OnAdmitted(std::string_view /*owner*/,
                          std::string_view /*kind*/,
                          std::size_t /*tasks*/) {}
  virtual void OnRefused(std::string_view /*owner*/,
                         std::string_view /*kind*/,
                         const Refusal& /*refusal*/) {}
  virtual void OnCompleted(std::string_view /*owner*/,
                           std::string_view /*kind*/,
                           Duration /*response_time*/) {}
  // `attempt` counts from 0; values above 0 are retries.
  virtual void OnStarted(std::string_view /*owner*/,
                         std::string_view /*kind*/,
                         std::string_view /*upstream*/,
                         std::uint32_t /*attempt*/) {}
  virtual void OnAttemptEnded(std::string_view /*owner*/,
                              std::string_view /*kind*/,
                              std::string_view /*upstream*/,
                              const AttemptOutcome& /*outcome*/) {}
  // A response to an attempt that is not running any more was discarded.
  virtual void OnStaleResponse(const AttemptId& /*attempt*/) {}
  virtual void OnForwarded() {}
  virtual void OnKeyClaim() {}
  virtual void OnConfiguration(const ConfigurationHeader& /*header*/) {}
  virtual void OnInstanceList(std::uint64_t /*revision*/) {}
  // An invariant is violated. Tests treat this as fatal.
  virtual void OnViolation(std::string_view /*invariant*/,
                           std::string_view /*detail*/) {}
};

struct DispatcherOptions {
  // Name and failure domain of this entry.
  std::string entry;
  std::string failure_domain;
  Incarnation incarnation;
  std::uint64_t seed = 1;
  PlacementOptions placement;
  RetryOptions retry;
  AdmissionOptions admission;
  // Maximum number of ids per reservation call, and per answer with new ids.
  std::uint32_t reserve_limit = 1000;
  // Number of most recent ids whose state is kept; older ids have expired.
  std::size_t id_window = 1'000'000;
  // Time for which answers are kept for resubmissions and queries.
  Duration answer_retention = std::chrono::seconds(60);
  // Maximum bytes of kept answers and their records. The oldest answers of the
  // owner with the most bytes are evicted first.
  std::size_t answer_bytes_limit = std::size_t{64} * 1024 * 1024;
  // The attempt timeout limits how long a connection without a response delays
  // a task. It is the estimated p99 run time multiplied by
  // `attempt_timeout_factor`, but at least `min_attempt_timeout` for idempotent
  // kinds and `min_single_attempt_timeout` for the others, because a few tasks
  // take several seconds.
  Duration min_attempt_timeout = std::chrono::seconds(2);
  Duration min_single_attempt_timeout = std::chrono::seconds(10);
  double attempt_timeout_factor = 8;
  // Retries per second of tasks that certainly did not run that are allowed
  // without a token of the retry budget. Without it, such tasks would wait
  // until new tasks add tokens.
  double retries_per_second_floor = 10;
  // Maximum key claims per second over all entries; divided by the number of
  // listed entries.
  double key_claims_per_second = 120;
  // May be null. Must outlive the dispatcher.
  DispatchObserver* observer = nullptr;
  // Deliberate defect, for tests only.
  internal::Mutant mutant = internal::Mutant::kNone;
};

// Decides how jobs are admitted, placed, retried and answered. Receives events
// with the current time and returns the actions to be taken.
//
// It does no I/O and reads no clock, so it behaves the same in the event loop,
// in tests with a manual clock and in a simulation.
//
// Example:
//   Dispatcher dispatcher({.entry = "e1", .failure_domain = "ghent"});
//   Actions actions;
//   dispatcher.Handle(now, ReserveIds{.call = {1}, .owner = "antwerp"},
//                     actions);
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherOptions options);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Handles `event` and appends the resulting actions to `actions`.
  //
  // `now` is the current time; it must not decrease from call to call.
  void Handle(TimePoint now, Event event, Actions& actions);

  // Time at which the next `Tick` must be sent, if any.
  std::optional<TimePoint> next_wakeup() const;

  // The configuration in force, or null.
  const Configuration* configuration() const;

  // The newest instance list, or null.
  const InstanceList* instances() const;

  bool is_draining() const;

  // Jobs that have not ended.
  std::size_t active_jobs() const;
  std::size_t queued_tasks() const;
  std::size_t running_tasks() const;

  // Names of the currently ejected upstreams.
  std::vector<std::string> ejected_upstreams() const;

  const DispatcherOptions& options() const;

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace jaypick

#endif  // JAYPICK_DISPATCHER_H_
