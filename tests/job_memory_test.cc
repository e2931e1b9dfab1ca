// Memory that jobs and their runs may take in a scheduler.

// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include "tests/support/scheduler_rig.h"
#include <criterion/criterion.h>
// clang-format on

#include <malloc.h>

#include <string>
#include <utility>

#include "schedule/job_memory.h"

namespace jaypick::schedule {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;

KindPolicy Kind() {
  return {.name = "match",
          .service = "fitting",
          .max_attempts = 3,
          .stretch = 1.6,
          .target_latency = milliseconds(60)};
}

JobSpec SpecOf(const std::string& id,
               std::size_t steps,
               std::uint32_t tasks,
               std::string payload = "p") {
  return {.id = id,
          .kind = Kind(),
          .payload = std::move(payload),
          .steps = std::vector<Step>(
              steps, {.tasks = tasks,
                      .needs = {.milli_cpus = 6800, .memory_mb = 64},
                      .declared_run_time = milliseconds(60)})};
}

MemoryBudgetPointer Budget(std::size_t bytes) {
  return MemoryBudgetPointer(new MemoryBudget({.bytes = bytes}));
}

RefusalReason ReasonOf(const JobEnded& ended) {
  if (const auto* const failed = std::get_if<Failed>(&ended.outcome)) {
    return failed->reason;
  }
  return std::get<Refused>(ended.outcome).reason;
}

// Guards against reservations that outlive their objects, or are lost when
// these are moved.
Test(job_memory, reservations_end_with_their_owner) {
  const MemoryBudgetPointer budget = Budget(800);
  {
    auto first = budget->Reserve(100);
    cr_assert(first.has_value());
    MemoryBudget::Reservation owner = *std::move(first);
    cr_assert_eq(budget->used(), 100);
    owner = *budget->Reserve(50);
    cr_assert_eq(budget->used(), 50);
  }
  cr_assert_eq(budget->used(), 0);
  cr_assert(!budget->CanEverReserve(101));
  cr_assert(!budget->Reserve(101).has_value());
}

// Guards against a job whose tasks are built before its size is looked at: ten
// million tasks end the process.
Test(job_memory, job_too_large_for_the_instance_is_refused_unbuilt) {
  SchedulerRig rig({.job_memory = Budget(64 * kMegabyte)});
  rig.AddUpstream("u1", 16000);
  rig.Submit(SpecOf("large", 1000, 10'000), seconds(3));
  cr_assert(std::holds_alternative<Refused>(rig.results.at("large").outcome));
  cr_assert_eq(ReasonOf(rig.results.at("large")), RefusalReason::kTooLarge);
  rig.Submit(SpecOf("small", 1, 8), seconds(3));
  rig.RunFor(seconds(1));
  cr_assert(std::holds_alternative<Completed>(rig.results.at("small").outcome));
  cr_assert_eq(rig.scheduler().job_memory().used(), 0);
  cr_assert(rig.violations.empty());
}

// Guards against a bound on each job alone: many medium jobs take as much as
// one large job.
Test(job_memory, many_medium_jobs_leave_room_for_small_ones) {
  // No other job is refused for lack of upstreams.
  SchedulerRig rig({.job_memory = Budget(4 * kMegabyte), .sheds_load = false});
  rig.AddUpstream("u1", 16000);
  for (int job = 0; job < 200; ++job) {
    rig.Submit(SpecOf("medium" + std::to_string(job), 1, 1000), seconds(3));
  }
  cr_assert_leq(rig.scheduler().job_memory().used(), 4 * kMegabyte);
  cr_assert_gt(rig.scheduler().jobs(), 2);
  cr_assert_gt(rig.CountRefused("medium"), 150);
  cr_assert_eq(ReasonOf(rig.results.at("medium199")), RefusalReason::kNoMemory);
  cr_assert_gt(std::get<Refused>(rig.results.at("medium199").outcome)
                   .retry_after.count(),
               0);
  for (int job = 0; job < 20; ++job) {
    rig.Submit(SpecOf("small" + std::to_string(job), 1, 2), seconds(3));
  }
  cr_assert_eq(rig.CountRefused("small"), 0);
  rig.RunFor(seconds(4));
  cr_assert_eq(rig.scheduler().job_memory().used(), 0);
  cr_assert(rig.violations.empty());
}

// Guards against a resubmission that is kept without a reservation while the
// runs of the first submission are being stopped, or refused as one that has
// not run.
Test(job_memory, resubmission_counts_and_may_have_run) {
  SchedulerRig rig({.job_memory = Budget(kMegabyte)});
  rig.AddUpstream("u1", 16000);
  rig.Submit(SpecOf("a", 1, 2), seconds(3));
  const std::size_t one = rig.scheduler().job_memory().used();
  rig.Abandon("a");
  rig.Submit(SpecOf("a", 1, 2), seconds(3));
  cr_assert_eq(rig.scheduler().job_memory().used(), 2 * one);
  rig.RunFor(seconds(1));
  cr_assert_eq(rig.scheduler().job_memory().used(), 0);

  rig.Submit(SpecOf("b", 1, 2), seconds(3));
  rig.Abandon("b");
  rig.Submit(SpecOf("b", 1, 5000), seconds(3));
  cr_assert(std::holds_alternative<Failed>(rig.results.at("b").outcome));
  cr_assert_eq(ReasonOf(rig.results.at("b")), RefusalReason::kTooLarge);
}

// Guards against as many requests to upstreams as a job has tasks: tasks that
// need nothing fit on an upstream without a limit of slots in any number.
Test(job_memory, runs_wait_for_memory) {
  const std::string payload(4000, 'p');
  SchedulerRig rig({.run_memory = Budget(kMegabyte)});
  const std::uint32_t number = rig.scheduler().fleet().Update(
      {.id = "u1",
       .address = {.host = "127.0.0.1", .port = 1},
       .failure_domain = "ghent",
       .service = "fitting",
       .started_unix_ms = 1,
       .capacity = {.milli_cpus = 16000, .memory_mb = 65536}});
  rig.scheduler().fleet().SetReady(number, true, rig.now());
  JobSpec spec = SpecOf("a", 1, 300, payload);
  spec.steps.front().needs = {};
  rig.Submit(std::move(spec), seconds(10));
  cr_assert_gt(rig.starts.size(), 10);
  cr_assert_lt(rig.starts.size() * RunBytes(SpecOf("a", 1, 1, payload)),
               kMegabyte);
  rig.RunFor(seconds(8));
  cr_assert_eq(rig.starts.size(), 300);
  cr_assert(std::holds_alternative<Completed>(rig.results.at("a").outcome));
}

#ifndef JAYPICK_SANITIZED
// Guards against an estimate below what a job takes.
Test(job_memory, estimate_covers_what_a_job_takes) {
  SchedulerRig rig({.sheds_load = false});
  for (int upstream = 0; upstream < 16; ++upstream) {
    rig.AddUpstream("u" + std::to_string(upstream), 16000);
  }
  for (const auto& [steps, tasks] : std::vector<std::pair<std::size_t, int>>{
           {1, 2}, {1, 410}, {20, 20}, {1, 20'000}, {1000, 1}}) {
    const std::string id = std::to_string(steps) + "x" + std::to_string(tasks);
    JobSpec spec = SpecOf(id, steps, static_cast<std::uint32_t>(tasks));
    const std::size_t bound = JobBytes(spec) + 128 * RunBytes(spec);
    const std::size_t before = ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
    rig.Submit(std::move(spec), seconds(3));
    rig.RunFor(milliseconds(250));
    const std::size_t after = ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
    cr_assert_leq(after, before + bound, "%s: %zu bytes, bound %zu", id.c_str(),
                  after - before, bound);
    rig.Abandon(id);
    rig.RunFor(milliseconds(200));
  }
}
#endif

}  // namespace
}  // namespace jaypick::schedule
