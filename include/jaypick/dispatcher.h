// The decisions of one entry instance.
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

// What happened, for metrics and logs. All members have empty defaults.
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
  // `attempt` counts from 0; greater than 0 is a repeated placement.
  virtual void OnStarted(std::string_view /*owner*/,
                         std::string_view /*kind*/,
                         std::string_view /*upstream*/,
                         std::uint32_t /*attempt*/) {}
  virtual void OnAttemptEnded(std::string_view /*owner*/,
                              std::string_view /*kind*/,
                              std::string_view /*upstream*/,
                              const AttemptOutcome& /*outcome*/) {}
  // An answer that nobody awaited was dropped.
  virtual void OnStaleAnswer(const AttemptId& /*attempt*/) {}
  virtual void OnForwarded() {}
  virtual void OnKeyClaim() {}
  virtual void OnConfiguration(const ConfigurationHeader& /*header*/) {}
  virtual void OnInstanceList(std::uint64_t /*revision*/) {}
  // An invariant does not hold. Tests make this fatal.
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
  // Ids of one reservation call or answer, at most.
  std::uint32_t reserve_limit = 1000;
  // Ids whose state is kept; an id below this window has expired.
  std::size_t id_window = 1'000'000;
  // Time for which answers are kept for resubmissions.
  Duration answer_retention = std::chrono::seconds(60);
  // Bytes of kept answers and their records; the oldest of the owner that holds
  // most go first.
  std::size_t answer_bytes_limit = std::size_t{64} * 1024 * 1024;
  // Shortest attempt timeout of idempotent kinds and of the others, and the
  // multiple of the learned p99 run time above it. It bounds how long a silent
  // connection holds a task; a few tasks take several seconds.
  Duration shortest_attempt_timeout = std::chrono::seconds(2);
  Duration min_single_attempt_timeout = std::chrono::seconds(10);
  double attempt_timeout_factor = 8;
  // Repeated placements per second that are allowed without a token, so that
  // tasks that were refused do not wait for new load to earn tokens.
  double retries_per_second_floor = 10;
  // Over all entries together; each takes its part by the listed entries.
  double key_claims_per_second = 120;
  // Null: nothing is reported.
  DispatchObserver* observer = nullptr;
  // For tests only.
  internal::Mutant mutant = internal::Mutant::kNone;
};

// Takes typed messages with the time and says what to do.
//
// It does no I/O and reads no clock, so that it runs the same under the event
// loop, a paused clock and a simulation.
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

  // Handles `event` at `now` and appends what to do to `actions`.
  //
  // `now` never decreases from call to call.
  void Handle(TimePoint now, Event event, Actions& actions);

  // Time of the next `Tick` that is needed, if any.
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

  // Names of upstreams that are ejected now, for operators.
  std::vector<std::string> ejected_upstreams() const;

  const DispatcherOptions& options() const;

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace jaypick

#endif  // JAYPICK_DISPATCHER_H_
