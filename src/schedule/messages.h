// Messages into and out of the scheduler.
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

// One start of one task.
struct RunId {
  std::string job;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  // Counts the task's starts from 1.
  std::uint32_t run = 1;

  friend auto operator<=>(const RunId&, const RunId&) = default;
};

// How a run ended.
enum class RunOutcome {
  kSucceeded,
  kFailed,
  // As ordered.
  kStopped,
  // The upstream's lease ended, or the upstream has gone; it surely does not
  // run any more.
  kLeaseExpired,
  // Somebody else commands the upstream: the run is stopped there, or goes on
  // until its lease ends.
  kTakenOver,
  // Refused: the upstream had no room. It did not start.
  kNoRoom,
  // Refused by an unhealthy upstream. It did not start.
  kUnhealthy,
  // It did not start, and the start cannot take effect any more.
  kNotStarted,
};

std::string_view ToString(RunOutcome end);

// False for ends that say that the run never began.
bool DidStart(RunOutcome end);

// Why a job was refused or given up.
enum class RefusalReason {
  // More work waits than can be done in time.
  kOverloaded,
  // The job takes longer than its caller waits.
  kTooLong,
  // No upstream has what a task needs.
  kNotOffered,
  // No upstream can be used at the moment.
  kNoUpstream,
  // The deadline passed.
  kDeadline,
  // A task failed on its last attempt.
  kTaskFailed,
  // Runs were lost with their upstream and there is no time to repeat them.
  kRunsLost,
  // Nobody waits for the job any more.
  kAbandoned,
  // This instance lost the command of the upstreams.
  kCommandLost,
};

std::string_view ToString(RefusalReason denial);

// All tasks have succeeded.
struct Completed {};

// The job was not started and will not be.
struct Refused {
  RefusalReason reason = RefusalReason::kOverloaded;
  // Earliest time to come back, from now.
  Duration retry_after{0};
};

// Tasks of the job have been started; the job has no answer.
struct Failed {
  RefusalReason reason = RefusalReason::kTaskFailed;
};

using JobOutcome = std::variant<Completed, Refused, Failed>;

// One line of what happened to a job, for logs.
struct TraceEntry {
  // Since the job's arrival.
  Duration at{0};
  std::string_view event;
  std::string detail;
};

// For logs: "refused:overloaded", and the lines of a trace.
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
