// Eviction of kept answers, and what counts as active.
// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include <criterion/criterion.h>
// clang-format on

#include "jaypick/internal/job_table.h"

namespace jaypick::internal {
namespace {

constexpr std::size_t kResultBytes = 1000;

// Adds a job of `owner` with one result and ends it.
void AddEndedJob(JobTable& table, std::uint64_t counter, OwnerNumber owner) {
  JobPointer job(new Job);
  job->counter = counter;
  job->owner = owner;
  job->bytes = kResultBytes;
  job->results = {std::string(kResultBytes, 'x')};
  job->tasks = std::vector<Task>(1);
  Job& added = *job;
  table.Add(std::move(job));
  table.OnEnded(added, TimePoint());
  table.Expire(TimePoint());
}

// Guards against counting kept answers as active, which would refuse new jobs
// of their owner until they expire, and against ignoring the size of job
// records.
Test(job_table, kept_answers_are_bounded_and_do_not_count_as_active) {
  constexpr std::size_t kLimit = 20'000;
  JobTable table({.answer_retention = std::chrono::seconds(60),
                  .answer_bytes_limit = kLimit});
  for (std::uint64_t counter = 0; counter < 100; ++counter) {
    AddEndedJob(table, counter, 1);
  }
  cr_assert_eq(table.active_bytes(1), 0u);
  cr_assert_null(table.Find(0));
  cr_assert_null(table.Find(100 - kLimit / kResultBytes));
  cr_assert_not_null(table.Find(99));
}

// Guards against a busy owner that displaces the kept answers of another.
Test(job_table, answers_of_the_owner_with_most_bytes_are_evicted_first) {
  JobTable table({.answer_retention = std::chrono::seconds(60),
                  .answer_bytes_limit = 50'000});
  AddEndedJob(table, 0, 1);
  for (std::uint64_t counter = 1; counter < 200; ++counter) {
    AddEndedJob(table, counter, 2);
  }
  cr_assert_not_null(table.Find(0));
  cr_assert_null(table.Find(1));
  table.Expire(TimePoint(std::chrono::seconds(60)));
  cr_assert_null(table.Find(0));
  cr_assert(!table.next_expiry());
}

}  // namespace
}  // namespace jaypick::internal
