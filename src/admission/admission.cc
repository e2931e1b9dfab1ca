#include "jaypick/internal/admission.h"

#include <algorithm>
#include <cmath>

namespace jaypick::internal {
namespace {

// A caller that retries sooner than the minimum finds the queue as full as
// before; one that waits longer than the maximum leaves capacity unused.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

AdmissionRefusal Refuse(RefusalReason reason, Duration retry_after) {
  return {
      .reason = reason,
      .retry_after = std::clamp(retry_after, kMinRetryAfter, kMaxRetryAfter)};
}

// Time in which `slots` slots process `work`.
Duration TimeToDrain(Duration work, double slots) {
  if (slots <= 0) {
    return kMaxRetryAfter;
  }
  const double max_time = static_cast<double>(kMaxJobTimeout.count());
  const double time = static_cast<double>(work.count()) / slots;
  return Duration(static_cast<std::int64_t>(std::clamp(time, 0.0, max_time)));
}

// Expected time until the last task of the job starts. Tasks of the job that
// run in parallel in the owner's slots do not wait for each other.
Duration ExpectedWait(const AdmissionInput& input) {
  const double mean = static_cast<double>(input.mean_run_time.count());
  const double excess_tasks =
      static_cast<double>(input.job_tasks) - std::max(1.0, input.owner_slots);
  const Duration job_work(static_cast<std::int64_t>(excess_tasks * mean));
  return TimeToDrain(input.owner_backlog + job_work, input.owner_slots);
}

// Expected run time of the longest task of the job, which determines when the
// job completes: the mean for a single task, about p99 for 100 tasks or more,
// and interpolated logarithmically in between.
Duration ExpectedMaxRunTime(const AdmissionInput& input) {
  constexpr double p99_sample_size = 100;
  const double tail_fraction =
      std::log(static_cast<double>(std::max<std::size_t>(1, input.job_tasks))) /
      std::log(p99_sample_size);
  const Duration tail =
      std::max(Duration(0), input.p99_run_time - input.mean_run_time);
  const double extra =
      static_cast<double>(tail.count()) * std::min(1.0, tail_fraction);
  return input.mean_run_time + Duration(static_cast<std::int64_t>(extra));
}

}  // namespace

std::optional<AdmissionRefusal> CheckAdmission(const AdmissionOptions& options,
                                               const AdmissionInput& input) {
  const Duration drain_time =
      TimeToDrain(input.owner_backlog, input.owner_slots);
  if (input.entry_tasks + input.job_tasks > options.tasks_limit) {
    return Refuse(RefusalReason::kOverloaded, drain_time / 2);
  }
  if (input.owner_bytes + input.job_bytes > options.bytes_per_owner_limit) {
    return Refuse(RefusalReason::kOverloaded, drain_time / 2);
  }
  if (input.queued_of_kind + input.job_tasks > input.queue_limit) {
    return Refuse(RefusalReason::kQueueFull, drain_time / 2);
  }
  const Duration needed = ExpectedWait(input) + ExpectedMaxRunTime(input);
  const Duration available(static_cast<std::int64_t>(
      static_cast<double>(input.timeout.count()) * options.wait_margin));
  if (needed > available && input.is_run_time_learned) {
    return Refuse(RefusalReason::kDeadlineUnreachable, needed - available);
  }
  return std::nullopt;
}

}  // namespace jaypick::internal
