// Jobs under way, and ended jobs whose answers are kept.
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

// Finds jobs by counter and forgets ended ones.
//
// An ended job is forgotten when its retention is over. When kept answers
// exceed their limit, the oldest of the owner that holds most go first, so that
// a busy owner does not push out the answers of another. A job with a running
// attempt stays until that attempt has ended, because its slot is still in use.
class JobTable {
 public:
  explicit JobTable(JobTableOptions options);

  void Add(JobPointer job);

  // The job, or null.
  Job* Find(std::uint64_t counter) const;

  // Notes that `job` has ended; its answer is kept from now on.
  void OnEnded(Job& job, TimePoint now);

  // Forgets what need not be kept at `now`.
  void Expire(TimePoint now);

  // Time of the next expiry, if any.
  std::optional<TimePoint> next_expiry() const;

  std::size_t active() const { return active_; }
  // Bytes of payloads of the owner's jobs that have not ended. Kept answers do
  // not count: they make room for each other, and must not refuse new jobs.
  std::size_t active_bytes(OwnerNumber owner) const;

 private:
  struct Kept {
    std::uint64_t counter = 0;
    TimePoint until;
    std::size_t bytes = 0;
  };

  struct Owner {
    std::size_t active_bytes = 0;
    std::size_t kept_bytes = 0;
    std::deque<Kept> kept;
  };

  void ExpireOwner(Owner& owner, TimePoint now);
  // Forgets the owner's oldest answer, or looks at it again later.
  void ForgetOldest(Owner& owner, TimePoint now);

  JobTableOptions options_;
  std::unordered_map<std::uint64_t, JobPointer> jobs_;
  std::map<OwnerNumber, Owner> owners_;
  std::size_t kept_ = 0;
  std::size_t kept_bytes_ = 0;
  std::size_t active_ = 0;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_JOB_TABLE_H_
