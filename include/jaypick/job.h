// Job requests and the answers to them.
#ifndef JAYPICK_JOB_H_
#define JAYPICK_JOB_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jaypick/ids.h"
#include "jaypick/time.h"

namespace jaypick {

// Maximum number of tasks of a job.
inline constexpr std::size_t kMaxTasksPerJob = 410;

// Maximum timeout of a job. It is much shorter than the lease of a claimed key,
// so that after a pause in which the lease expired, the deadline of the job has
// passed as well.
inline constexpr Duration kMaxJobTimeout = std::chrono::seconds(60);

// How a submission identifies itself.
using SubmissionIdentity = std::variant<JobId, SubmissionKey>;

// A job as submitted by a caller.
struct JobRequest {
  SubmissionIdentity identity;
  std::string owner;
  std::string service;
  std::string kind;
  // Time from arrival to the deadline; absent for the default of the kind.
  std::optional<Duration> timeout;
  // If true, the call is answered when the job has ended, otherwise
  // immediately.
  bool wait = true;
  // Number of new ids to be returned with the answer.
  std::uint32_t reserve = 0;
  // One JSON text for each task.
  std::vector<std::string> tasks;

  friend bool operator==(const JobRequest&, const JobRequest&) = default;
};

// Whether a refused job ran.
enum class RunState {
  // No task was started, and none will be started under this id.
  kNotRun,
  // The job may be running or may have run. The caller should query again.
  kUnknown,
  // The job ended without a complete answer. Tasks may have run.
  kFailed,
};

// Why a job was refused or failed.
enum class RefusalReason {
  kBadRequest,
  kUnknownKind,
  kUnknownOwner,
  kNeedsNotOffered,
  kIdNeverIssued,
  kNotSubmitted,
  kIdExpired,
  kIdClosed,
  kIdReused,
  kIssuerUnreachable,
  kIssuerGone,
  kKeyClaimUnavailable,
  kNoConfiguration,
  kNoUpstream,
  kQueueFull,
  kOverloaded,
  kDeadlineUnreachable,
  kDeadlineExceeded,
  kDraining,
  kCancelled,
  kTaskFailed,
  kTaskOutcomeUnknown,
  kAnswerExpired,
};

// Name of `state` in API answers, for example "not_run".
std::string_view ToString(RunState state);

// Name of `reason` in API answers, for example "queue_full".
std::string_view ToString(RefusalReason reason);

// An error in one field of a request.
struct FieldError {
  // JSON pointer into the request body, for example "/tasks".
  std::string json_pointer;
  std::string message;

  friend bool operator==(const FieldError&, const FieldError&) = default;
};

// A job that was refused, or that failed.
struct Refusal {
  std::optional<JobId> id;
  RunState run = RunState::kUnknown;
  RefusalReason reason = RefusalReason::kBadRequest;
  std::string message;
  // Time after which a retry is useful.
  std::optional<Duration> retry_after;
  std::vector<FieldError> faults;
  std::vector<JobId> next_ids;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

// All results of a job, in task order, one JSON text each.
struct CompleteAnswer {
  JobId id;
  std::vector<std::string> results;
  std::vector<JobId> next_ids;

  friend bool operator==(const CompleteAnswer&,
                         const CompleteAnswer&) = default;
};

// A job that has not ended yet.
struct RunningAnswer {
  JobId id;
  std::vector<JobId> next_ids;

  friend bool operator==(const RunningAnswer&, const RunningAnswer&) = default;
};

// Ids reserved for a caller.
struct ReservedIds {
  std::vector<JobId> ids;

  friend bool operator==(const ReservedIds&, const ReservedIds&) = default;
};

// Answer to a call.
using CallAnswer =
    std::variant<ReservedIds, RunningAnswer, CompleteAnswer, Refusal>;

}  // namespace jaypick

#endif  // JAYPICK_JOB_H_
