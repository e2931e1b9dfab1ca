// Active jobs, and ended jobs whose answers are kept.
#ifndef JAYPICK_INTERNAL_JOB_TABLE_H_
#define JAYPICK_INTERNAL_JOB_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "jaypick/internal/job.h"
#include "jaypick/time.h"

namespace jaypick::internal {

struct JobTableOptions {
  Duration answer_retention{0};
  std::size_t answer_bytes_limit = 0;
};

// Jobs by counter: those that have not ended, and ended ones whose answers are
// kept for resubmissions and queries.
//
// An ended job is evicted when its retention period is over. When kept answers
// exceed their size limit, the oldest answers of the owner with the most kept
// bytes are evicted first, so that a busy owner does not displace the answers
// of others. A job with a running attempt is kept until that attempt has ended,
// because the attempt still occupies a slot.
class JobTable {
 public:
  explicit JobTable(JobTableOptions options);

  void Add(JobPointer job);

  // The job, or null.
  Job* Find(std::uint64_t counter) const;

  // Records that `job` has ended, and starts the retention of its answer.
  void OnEnded(Job& job, TimePoint now);

  // Evicts jobs whose retention is over at `now` or that exceed the size limit.
  void Expire(TimePoint now);

  // Time of the next expiry, if any.
  std::optional<TimePoint> next_expiry() const;

  std::size_t active() const { return active_; }
  // Payload bytes of the owner's jobs that have not ended. Kept answers are not
  // included: they are evicted when space is needed, so they must not cause new
  // jobs to be refused.
  std::size_t active_bytes(OwnerNumber owner) const;

 private:
  struct KeptAnswer {
    std::uint64_t counter = 0;
    TimePoint expires_at;
    std::size_t bytes = 0;
  };

  struct Owner {
    std::size_t active_bytes = 0;
    std::size_t kept_bytes = 0;
    std::deque<KeptAnswer> kept;
  };

  void ExpireOwner(Owner& owner, TimePoint now);
  // Evicts the owner's oldest answer. If its job has a running attempt, moves
  // it to the end of the list instead.
  void EvictOldest(Owner& owner, TimePoint now);

  JobTableOptions options_;
  std::unordered_map<std::uint64_t, JobPointer> jobs_;
  std::map<OwnerNumber, Owner> owners_;
  std::size_t kept_ = 0;
  std::size_t kept_bytes_ = 0;
  std::size_t active_ = 0;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_JOB_TABLE_H_
