#include "jaypick/internal/admission.h"

#include <algorithm>
#include <cmath>

namespace jaypick::internal {
namespace {

// Callers that come back sooner than this meet the same queue; later than the
// longest, they leave capacity unused.
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(30);

AdmissionRefusal Refuse(RefusalReason reason, Duration retry_after) {
  return {.reason = reason,
          .retry_after =
              std::clamp(retry_after, kShortestRetryAfter, kLongestRetryAfter)};
}

// Time for the owner's slots to take up `work`.
Duration TimeToStart(Duration work, double slots) {
  if (slots <= 0) {
    return kLongestRetryAfter;
  }
  const double longest = static_cast<double>(kMaxJobTimeout.count());
  const double time = static_cast<double>(work.count()) / slots;
  return Duration(static_cast<std::int64_t>(std::clamp(time, 0.0, longest)));
}

// Wait until the job's last task starts. Tasks that fit into the owner's slots
// side by side do not wait for each other.
Duration ExpectedWait(const AdmissionInput& input) {
  const double mean = static_cast<double>(input.mean_run_time.count());
  const double ahead =
      static_cast<double>(input.job_tasks) - std::max(1.0, input.owner_slots);
  const Duration own(static_cast<std::int64_t>(ahead * mean));
  return TimeToStart(input.owner_backlog + own, input.owner_slots);
}

// Expected run time of the job's longest task, which its answer waits for. Of a
// hundred tasks, the longest takes about p99; a single one takes the mean.
Duration ExpectedLongest(const AdmissionInput& input) {
  constexpr double per_hundred = 100;
  const double part =
      std::log(static_cast<double>(std::max<std::size_t>(1, input.job_tasks))) /
      std::log(per_hundred);
  const Duration tail =
      std::max(Duration(0), input.p99_run_time - input.mean_run_time);
  const double extra = static_cast<double>(tail.count()) * std::min(1.0, part);
  return input.mean_run_time + Duration(static_cast<std::int64_t>(extra));
}

}  // namespace

std::optional<AdmissionRefusal> CheckAdmission(const AdmissionOptions& options,
                                               const AdmissionInput& input) {
  const Duration drain = TimeToStart(input.owner_backlog, input.owner_slots);
  if (input.entry_tasks + input.job_tasks > options.tasks_limit) {
    return Refuse(RefusalReason::kOverloaded, drain / 2);
  }
  if (input.owner_bytes + input.job_bytes > options.bytes_per_owner_limit) {
    return Refuse(RefusalReason::kOverloaded, drain / 2);
  }
  if (input.queued_of_kind + input.job_tasks > input.queue_limit) {
    return Refuse(RefusalReason::kQueueFull, drain / 2);
  }
  const Duration needed = ExpectedWait(input) + ExpectedLongest(input);
  const Duration available(static_cast<std::int64_t>(
      static_cast<double>(input.timeout.count()) * options.wait_margin));
  if (needed > available && input.is_run_time_learned) {
    return Refuse(RefusalReason::kDeadlineUnreachable, needed - available);
  }
  return std::nullopt;
}

}  // namespace jaypick::internal
