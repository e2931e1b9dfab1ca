// Jobs that were given up and may still run under the leadership that got them.

#include "control/active_jobs.h"

#include <criterion/criterion.h>

namespace jaypick::control {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};

// Guards against a resubmission that goes to another leadership while runs of
// the job may be active.
Test(active_jobs, job_is_remembered_until_its_runs_have_ended) {
  ActiveJobs jobs(milliseconds(1250));
  const Leadership leadership{.failure_domain = "ghent", .incarnation = "p1"};
  jobs.Add(kStart, "a", leadership);
  cr_assert(!jobs.Take(kStart, "b"));
  const auto entry = jobs.Take(kStart + milliseconds(1249), "a");
  cr_assert(entry);
  cr_assert(entry->leadership == leadership);
  cr_assert(entry->until == kStart + milliseconds(1250));
  cr_assert(!jobs.Take(kStart + milliseconds(1249), "a"));
}

// Guards against a job that is bound to a leadership for ever, and against
// memory that grows with every caller that leaves.
Test(active_jobs, entries_expire) {
  ActiveJobs jobs(milliseconds(1250));
  jobs.Add(kStart, "a", {.failure_domain = "ghent", .incarnation = "p1"});
  jobs.Add(kStart, "b", {.failure_domain = "ghent", .incarnation = "p1"});
  cr_assert(!jobs.Take(kStart + milliseconds(1250), "a"));
  jobs.Add(kStart + milliseconds(1250), "c",
           {.failure_domain = "antwerp", .incarnation = "p2"});
  cr_assert_eq(jobs.size(), 1);
}

}  // namespace
}  // namespace jaypick::control
