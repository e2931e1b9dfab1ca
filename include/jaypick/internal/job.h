// A job at the entry that issued its id.
#ifndef JAYPICK_INTERNAL_JOB_H_
#define JAYPICK_INTERNAL_JOB_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "jaypick/internal/queued_task.h"
#include "jaypick/internal/upstream_pool.h"
#include "jaypick/job.h"
#include "jaypick/time.h"

namespace jaypick::internal {

struct Job;

enum class TaskState : std::uint8_t {
  // In the fair queue.
  kQueued,
  // Not queued; waits until the retry budget has a token.
  kAwaitingBudget,
  kRunning,
  kDone,
  // The job ended before the task was done.
  kDropped,
};

// One task of a job.
struct Task : QueuedTask {
  Job* job = nullptr;
  std::uint32_t index = 0;
  TaskState state = TaskState::kQueued;
  // Number of attempts started; the running one has index `attempts - 1`.
  std::uint32_t attempts = 0;
  // Number of attempts that ended as `attempt::Lost`.
  std::uint32_t lost_attempts = 0;
  UpstreamNumber upstream = 0;
  TimePoint started;
};

// A call that waits for the job's answer.
struct Waiter {
  CallId call;
  // Number of new ids that the caller requested with the answer.
  std::uint32_t reserve = 0;
};

// A job, from its admission until its answer is evicted.
struct Job : boost::intrusive_ref_counter<Job, boost::thread_unsafe_counter> {
  std::uint64_t counter = 0;
  std::string owner_name;
  OwnerNumber owner = 0;
  ServiceNumber service = 0;
  KindNumber kind = 0;
  // Copied at admission, so that a configuration change does not affect jobs
  // that have already been admitted.
  bool is_idempotent = false;
  // See `DigestOf`. Distinguishes a resubmission from another job under the
  // same id.
  std::uint64_t digest = 0;
  TimePoint arrival;
  TimePoint deadline;
  // Payload bytes while the job is active, memory of the kept job afterwards.
  std::size_t bytes = 0;
  // JSON texts.
  std::vector<std::string> payloads;
  std::vector<std::string> results;
  std::vector<Task> tasks;
  std::size_t unfinished = 0;
  std::uint32_t running = 0;
  // Attempts that ran or may have run: incremented at each start, decremented
  // if the attempt was refused or not sent.
  std::uint32_t starts = 0;
  // Attempts of all tasks that ended as `attempt::Lost`.
  std::uint32_t lost_attempts = 0;
  std::vector<Waiter> waiters;
  bool has_ended = false;
  // Set if the job ended without a complete answer.
  std::optional<Refusal> refusal;
};

using JobPointer = boost::intrusive_ptr<Job>;

// Digest of the content of `request`: owner, service, kind and tasks.
std::uint64_t DigestOf(const JobRequest& request);

// Total payload bytes of the tasks of `request`.
std::size_t PayloadBytes(const JobRequest& request);

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_JOB_H_
