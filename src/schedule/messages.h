// Messages to and from the scheduler.
#ifndef JAYPICK_SCHEDULE_MESSAGES_H_
#define JAYPICK_SCHEDULE_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jaypick/time.h"

namespace jaypick::schedule {

// Identifies one run of one task.
struct RunId {
  std::string job;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  // Counts the task's starts from 1.
  std::uint32_t run = 1;

  friend auto operator<=>(const RunId&, const RunId&) = default;
};

// Identifies one task of a job.
struct TaskId {
  std::string job;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

// The task that `run` is a run of.
TaskId TaskOf(const RunId& run);

// How a run ended.
enum class RunOutcome {
  kSucceeded,
  kFailed,
  // Stopped at the request of the scheduler.
  kStopped,
  // The lease expired at an upstream that still responds. For this outcome and
  // the next four, the run is certainly no longer active.
  kLeaseExpired,
  // The upstream was lost, or has restarted, before it had confirmed the start.
  // The run may have started.
  kStartUnconfirmed,
  // The upstream confirmed the start, but did not respond until the lease had
  // expired.
  kUpstreamSilent,
  // The upstream confirmed the start, and its process has probably ended: it
  // refused connections until the lease had expired, or its address belongs to
  // another upstream. A cut may look the same.
  kUpstreamLikelyCrashed,
  // The upstream confirmed the start, and another incarnation of it has
  // responded since.
  kUpstreamCrashed,
  // Another leader has taken over the upstream. The run is stopped there, or
  // continues until its lease expires.
  kTakenOver,
  // Refused by the upstream for lack of capacity. The run did not start.
  kNoRoom,
  // Refused by an unhealthy upstream. The run did not start.
  kUnhealthy,
  // The run did not start, and its start request cannot take effect any more.
  kNotStarted,
};

std::string_view ToString(RunOutcome outcome);

// Returns false for outcomes of runs that never began.
bool DidStart(RunOutcome outcome);

// Returns true if the run was lost together with its upstream, which the run
// may have caused.
bool IsUpstreamLoss(RunOutcome outcome);

// Why a job was refused or has failed.
enum class RefusalReason {
  // More work is waiting than can be done in time.
  kOverloaded,
  // The job is predicted to take longer than its caller waits.
  kTooLong,
  // No upstream offers the resources or the label that a task needs.
  kNotOffered,
  // No suitable upstream is usable at the moment.
  kNoUpstream,
  // The deadline passed.
  kDeadline,
  // A task failed on its last attempt.
  kTaskFailed,
  // Runs were lost or stopped, and either no retry is left or a retry could not
  // end before the deadline.
  kRunsLost,
  // The caller no longer waits for the job.
  kAbandoned,
  // This instance lost the leadership of the upstreams' domain.
  kCommandLost,
  // The operators have evacuated the upstreams' domain.
  kEvacuated,
  // The job is too large for the memory of an instance.
  kTooLarge,
  // Other jobs hold the memory that the job needs.
  kNoMemory,
};

std::string_view ToString(RefusalReason reason);

// All tasks have succeeded.
struct Completed {};

// No task of this submission was started, and none will be.
struct Refused {
  RefusalReason reason = RefusalReason::kOverloaded;
  // Time from now after which the caller should retry at the earliest.
  Duration retry_after{0};
  // Tasks of an earlier submission may have been started. All of them have
  // ended.
  bool may_have_run = false;
};

// Tasks of the job were started, but the job did not complete.
struct Failed {
  RefusalReason reason = RefusalReason::kTaskFailed;
};

using JobOutcome = std::variant<Completed, Refused, Failed>;

// One event in the course of a job, for logs.
struct TraceEntry {
  // Since the job's arrival.
  Duration at{0};
  std::string_view event;
  std::string detail;
};

// Texts for logs: an outcome such as "refused:overloaded", and the events of a
// trace.
std::string Describe(const JobOutcome& outcome);
std::string Describe(const std::vector<TraceEntry>& trace);

struct StartTask {
  RunId run;
  std::uint32_t upstream = 0;
  std::string payload;
};

struct StopTask {
  RunId run;
  std::uint32_t upstream = 0;
};

struct JobEnded {
  std::string job;
  JobOutcome outcome;
  std::vector<TraceEntry> trace;
  // Since the job's arrival.
  Duration response_time{0};
};

using Action = std::variant<StartTask, StopTask, JobEnded>;
using Actions = std::vector<Action>;

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_MESSAGES_H_
