// Admission: whether a job can be queued and answered in time.
#ifndef JAYPICK_INTERNAL_ADMISSION_H_
#define JAYPICK_INTERNAL_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "jaypick/job.h"
#include "jaypick/time.h"

namespace jaypick {

struct AdmissionOptions {
  // Tasks waiting or running at one entry, all owners together.
  std::size_t tasks_limit = 20'000;
  // Bytes of payloads of one owner's jobs that have not ended.
  std::size_t bytes_per_owner_limit = std::size_t{32} * 1024 * 1024;
  // Part of the time to the deadline that the expected wait may fill.
  double wait_margin = 1.0;
};

namespace internal {

// What admission knows about a job and the queue it would join.
struct AdmissionInput {
  std::size_t job_tasks = 0;
  std::size_t job_bytes = 0;
  Duration timeout{0};
  // Learned run times of the kind.
  Duration mean_run_time{0};
  Duration p99_run_time{0};
  // Tasks at this entry.
  std::size_t entry_tasks = 0;
  // Queued tasks of the owner and kind, and their limit.
  std::size_t queued_of_kind = 0;
  std::size_t queue_limit = 0;
  // Bytes held for the owner.
  std::size_t owner_bytes = 0;
  // Work waiting for the owner, and the slots that his share gives him.
  Duration owner_backlog{0};
  double owner_slots = 0;
  // False while the run times are only declared. A job is then not refused for
  // its deadline: with a declared run time that is too long, none would ever
  // run and correct it.
  bool is_run_time_learned = true;
};

struct AdmissionRefusal {
  RefusalReason reason = RefusalReason::kOverloaded;
  Duration retry_after{0};
};

// Decides on a job.
//
// Returns nothing if the job is admitted.
std::optional<AdmissionRefusal> CheckAdmission(const AdmissionOptions& options,
                                               const AdmissionInput& input);

}  // namespace internal
}  // namespace jaypick

#endif  // JAYPICK_INTERNAL_ADMISSION_H_
