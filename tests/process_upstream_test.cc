// Tests of failing upstreams with separate processes.
#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "tests/cluster.h"

namespace jaypick::testing {
namespace {

constexpr double kTestSeconds = 120;

const Json kShort = {{"run_ms", 20}, {"result", "done"}};

std::string Text(const Answer& answer) {
  return std::to_string(answer.status) + " " + answer.error + " " +
         answer.body.dump();
}

struct FaultCase {
  const char* mode;
  // Expected starts of the task of each kind, and whether the job of the kind
  // "once" completes; otherwise it is refused with the run state "unknown".
  int safe_starts;
  int once_starts;
  bool is_once_complete;
};

// Guards against a second start of a task that is not idempotent and may have
// run, a lost idempotent task, and an invalid response that counts as a result.
Test(process_upstream, one_fault_each, .timeout = kTestSeconds) {
  const std::vector<FaultCase> cases = {
      {"garbage", 2, 1, false},
      {"half", 2, 1, false},
      {"wrong_attempt", 2, 1, false},
      {"drop_after_start", 2, 1, false},
      {"drop_before_start", 1, 0, false},
      {"silent_tasks", 2, 1, false},
      {"busy", 1, 1, true},
  };
  Cluster cluster({.entries_per_domain = 1, .upstreams_per_domain = 1});
  Entry& entry = *cluster.entries()[0];
  for (const FaultCase& fault_case : cases) {
    const auto ids = cluster.Reserve(entry, 4);
    const Json fault = {{"mode", fault_case.mode}, {"count", 1}};
    cluster.SetFault(cluster.upstreams()[0], fault);
    const Answer safe =
        cluster.Submit(entry, Cluster::Job(ids[0], "safe", kShort));
    cr_assert_eq(safe.status, 200, "%s: %s", fault_case.mode,
                 Text(safe).c_str());
    cr_assert(safe.body["results"] == Json({"done"}), "%s", fault_case.mode);
    cr_assert_eq(cluster.StartsOf(ids[0]), fault_case.safe_starts, "%s",
                 fault_case.mode);
    cluster.SetFault(cluster.upstreams()[0], fault);
    const Answer once =
        cluster.Submit(entry, Cluster::Job(ids[1], "once", kShort));
    cr_assert_eq(once.status == 200, fault_case.is_once_complete, "%s: %s",
                 fault_case.mode, Text(once).c_str());
    cr_assert(
        fault_case.is_once_complete || once.body.value("run", "") == "unknown",
        "%s: %s", fault_case.mode, Text(once).c_str());
    cr_assert_eq(cluster.StartsOf(ids[1]), fault_case.once_starts, "%s",
                 fault_case.mode);
    // A success between the faults keeps the upstream from being ejected.
    cr_assert_eq(
        cluster.Submit(entry, Cluster::Job(ids[2], "safe", kShort)).status, 200,
        "%s", fault_case.mode);
  }
  cluster.CheckStarts();
}

// Guards against a job that completes although one of its tasks failed.
Test(process_upstream, failed_task_fails_the_job, .timeout = kTestSeconds) {
  Cluster cluster({.entries_per_domain = 1, .upstreams_per_domain = 1});
  Entry& entry = *cluster.entries()[0];
  const std::string id = cluster.Reserve(entry).front();
  Json job = Cluster::Job(id, "safe", kShort, 3);
  // This task ends last, so that no other task of the job is still running.
  job["tasks"][1] = {{"run_ms", 300}, {"fail", "no chair"}};
  const Answer answer = cluster.Submit(entry, job);
  cr_assert(answer.body.value("run", "") == "failed", "%s",
            Text(answer).c_str());
  cr_assert(answer.body.value("reason", "") == "task_failed");
  cr_assert(!answer.body.contains("results"));
  cr_assert_leq(cluster.StartsOf(id), 3, "a failed task is not repeated");
}

// Guards against tasks sent to an upstream that accepts connections but never
// responds, and against an entry that waits for it.
Test(process_upstream, silent_upstream_gets_no_task, .timeout = kTestSeconds) {
  Cluster cluster({.entries_per_domain = 1, .upstreams_per_domain = 2});
  Entry& entry = *cluster.entries()[0];
  cluster.SetFault(cluster.upstreams()[0], {{"mode", "silent"}});
  const auto ids = cluster.Reserve(entry, 40);
  std::vector<Caller::Pending> calls;
  for (const std::string& id : ids) {
    calls.push_back(
        cluster.StartJob(entry, Cluster::Job(id, "once", kShort, 2)));
  }
  for (const Caller::Pending& call : calls) {
    const Answer answer = cluster.caller().Wait(call);
    cr_assert_eq(answer.status, 200, "%s", Text(answer).c_str());
  }
  cr_assert_eq(cluster.Stats(cluster.upstreams()[0])["started"], 0);
  cluster.CheckStarts();
}

// Guards against lost idempotent jobs, second starts of others, and false
// "not_run" answers when an upstream is killed under load.
Test(process_upstream, killed_under_load, .timeout = kTestSeconds) {
  Cluster cluster({.entries_per_domain = 2, .upstreams_per_domain = 3});
  std::vector<std::pair<std::string, Caller::Pending>> safe;
  std::vector<std::pair<std::string, Caller::Pending>> once;
  for (int i = 0; i < 60; ++i) {
    Entry& entry = *cluster.entries()[i % 2];
    const auto ids = cluster.Reserve(entry, 2);
    const Json task = {{"run_ms", 50}};
    safe.emplace_back(
        ids[0], cluster.StartJob(entry, Cluster::Job(ids[0], "safe", task)));
    once.emplace_back(
        ids[1], cluster.StartJob(entry, Cluster::Job(ids[1], "once", task)));
    if (i == 30) {
      cluster.upstreams()[0].process->Kill();
    }
  }
  for (const auto& [id, call] : safe) {
    const Answer answer = cluster.caller().Wait(call);
    cr_assert_eq(answer.status, 200, "%s", Text(answer).c_str());
  }
  for (const auto& [id, call] : once) {
    const Answer answer = cluster.caller().Wait(call);
    const bool is_truthful = answer.status == 200 ||
                             answer.body.value("run", "") == "unknown" ||
                             (answer.body.value("run", "") == "not_run" &&
                              cluster.StartsOf(id) == 0);
    cr_assert(is_truthful, "%s", Text(answer).c_str());
  }
  cluster.CheckStarts();
}

// Guards against an upstream that fails every task immediately. It would always
// have the lowest load and attract all tasks.
Test(process_upstream, failing_fast_draws_no_load, .timeout = kTestSeconds) {
  Cluster cluster({.entries_per_domain = 1, .upstreams_per_domain = 4});
  Entry& entry = *cluster.entries()[0];
  cluster.SetFault(cluster.upstreams()[0], {{"mode", "fail"}});
  int failed = 0;
  for (const std::string& id : cluster.Reserve(entry, 100)) {
    const Answer answer =
        cluster.Submit(entry, Cluster::Job(id, "safe", {{"run_ms", 10}}));
    failed += answer.status == 200 ? 0 : 1;
  }
  // Five consecutive failures eject an upstream; attempts to readmit it cause a
  // few more.
  cr_assert_leq(failed, 12, "%d of 100 jobs failed", failed);
}

}  // namespace
}  // namespace jaypick::testing
