// Admission control: decides whether a job can be queued and completed in time.
#ifndef JAYPICK_INTERNAL_ADMISSION_H_
#define JAYPICK_INTERNAL_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "jaypick/job.h"
#include "jaypick/time.h"

namespace jaypick {

struct AdmissionOptions {
  // Maximum number of queued and running tasks at one entry, over all owners.
  std::size_t tasks_limit = 20'000;
  // Maximum payload bytes of one owner's jobs that have not ended.
  std::size_t bytes_per_owner_limit = std::size_t{32} * 1024 * 1024;
  // Fraction of the time to the deadline that the expected wait and run time of
  // a job may take.
  double wait_margin = 1.0;
};

namespace internal {

// The job to be admitted and the state of the entry and its queue.
struct AdmissionInput {
  std::size_t job_tasks = 0;
  std::size_t job_bytes = 0;
  Duration timeout{0};
  // Estimated run times of the kind.
  Duration mean_run_time{0};
  Duration p99_run_time{0};
  // Queued and running tasks at this entry.
  std::size_t entry_tasks = 0;
  // Queued tasks of this owner and kind, and their limit.
  std::size_t queued_of_kind = 0;
  std::size_t queue_limit = 0;
  // Payload bytes of the owner's jobs that have not ended.
  std::size_t owner_bytes = 0;
  // Total expected run time of the owner's queued tasks, and the number of
  // slots that correspond to the owner's share.
  Duration owner_backlog{0};
  double owner_slots = 0;
  // False while the run times are those that the operator declared. Jobs are
  // then not refused as `deadline_unreachable`: if the declared run time is too
  // long, no task would ever run and correct it.
  bool is_run_time_learned = true;
};

struct AdmissionRefusal {
  RefusalReason reason = RefusalReason::kOverloaded;
  Duration retry_after{0};
};

// Decides whether a job is admitted.
//
// Returns the reason for a refusal, or nothing if the job is admitted.
std::optional<AdmissionRefusal> CheckAdmission(const AdmissionOptions& options,
                                               const AdmissionInput& input);

}  // namespace internal
}  // namespace jaypick

#endif  // JAYPICK_INTERNAL_ADMISSION_H_
