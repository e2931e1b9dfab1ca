// Tests with separate processes: a task that may have run is never started
// again, whatever happens to the instance that accepted the job. The tests
// check the starts that the upstreams recorded.
#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "tests/cluster.h"

namespace jaypick::testing {
namespace {

constexpr double kTestSeconds = 120;

const Json kShort = {{"run_ms", 20}, {"result", "done"}};

// Long enough for the actions of a test while the task runs, and shorter than
// the shortest attempt timeout, 2 s.
const Json kLong = {{"run_ms", 1500}, {"result", "done"}};

std::string Text(const Answer& answer) {
  return std::to_string(answer.status) + " " + answer.error + " " +
         answer.body.dump();
}

void ExpectComplete(const Answer& answer) {
  cr_assert_eq(answer.status, 200, "%s", Text(answer).c_str());
  cr_assert(answer.body["status"] == "complete");
}

void ExpectRefused(const Answer& answer,
                   const std::string& run,
                   const std::string& reason) {
  const bool as_expected = answer.body.is_object() &&
                           answer.body.value("run", "") == run &&
                           answer.body.value("reason", "") == reason;
  cr_assert(as_expected, "not %s %s: %s", run.c_str(), reason.c_str(),
            Text(answer).c_str());
}

void WaitForStart(Cluster& cluster, const std::string& id) {
  cr_assert(cluster.caller().Until([&] { return cluster.StartsOf(id) == 1; }));
}

// Guards against a second start when a client repeats a submission
// concurrently, at another entry, or after the response.
Test(process_submission,
     repeated_submission_starts_once,
     .timeout = kTestSeconds) {
  Cluster cluster;
  Entry& issuer = *cluster.entries()[0];
  Entry& other = *cluster.entries()[1];
  const std::string id = cluster.Reserve(issuer).front();
  const Json job = Cluster::Job(id, "once", {{"run_ms", 300}}, 10);
  const std::vector<Caller::Pending> calls = {
      cluster.StartJob(issuer, job), cluster.StartJob(issuer, job),
      cluster.StartJob(other, job), cluster.StartJob(other, job)};
  for (const Caller::Pending& call : calls) {
    const Answer answer = cluster.caller().Wait(call);
    ExpectComplete(answer);
    cr_assert_eq(answer.body["results"].size(), 10u);
  }
  ExpectComplete(cluster.Submit(issuer, job));
  ExpectComplete(cluster.Submit(other, job));
  cr_assert_eq(cluster.StartsOf(id), 10);
  cluster.CheckStarts();
}

// Guards against a different job that runs, or gets a result, under a used id.
Test(process_submission,
     other_content_under_the_same_id_is_refused,
     .timeout = kTestSeconds) {
  Cluster cluster;
  Entry& issuer = *cluster.entries()[0];
  const std::string id = cluster.Reserve(issuer).front();
  ExpectComplete(cluster.Submit(issuer, Cluster::Job(id, "once", kShort)));
  const Json changed = Cluster::Job(id, "once", {{"run_ms", 21}});
  for (const auto& entry : cluster.entries()) {
    const Answer answer = cluster.Submit(*entry, changed);
    cr_assert_eq(answer.status, 409, "%s", Text(answer).c_str());
    cr_assert(answer.body["reason"] == "id_reused");
  }
  cr_assert_eq(cluster.StartsOf(id), 1);
}

// Guards against results that are delivered to another job when many jobs are
// in progress and end out of order.
Test(process_submission,
     every_caller_gets_its_own_answer,
     .timeout = kTestSeconds) {
  Cluster cluster;
  std::vector<std::pair<std::string, Caller::Pending>> calls;
  for (int i = 0; i < 60; ++i) {
    Entry& issuer = *cluster.entries()[i % 2];
    Entry& asked = *cluster.entries()[i / 2 % 2];
    const std::string id = cluster.Reserve(issuer).front();
    const Json task = {{"run_ms", (i * 37) % 100}, {"result", id}};
    calls.emplace_back(
        id, cluster.StartJob(asked, Cluster::Job(id, "once", task, 3)));
  }
  for (const auto& [id, call] : calls) {
    const Answer answer = cluster.caller().Wait(call);
    ExpectComplete(answer);
    cr_assert(answer.body["id"] == id);
    cr_assert(answer.body["results"] == Json({id, id, id}));
  }
  cluster.CheckStarts();
}

// Guards against a second start, and against a false "not_run", when the entry
// that has the job is killed and restarted.
Test(process_submission, killed_entry, .timeout = kTestSeconds) {
  Cluster cluster;
  Entry& issuer = *cluster.entries()[0];
  Entry& other = *cluster.entries()[1];
  const std::string id = cluster.Reserve(issuer).front();
  const Json job = Cluster::Job(id, "once", kLong);
  const auto lost = cluster.StartJob(issuer, job);
  WaitForStart(cluster, id);
  issuer.process->Kill();
  cr_assert_eq(cluster.caller().Wait(lost).status, 0);
  ExpectRefused(cluster.Submit(other, job), "unknown", "issuer_unreachable");
  cluster.StartEntry(issuer);
  cluster.WaitReady(issuer);
  ExpectRefused(cluster.Submit(other, job), "failed", "issuer_gone");
  ExpectRefused(cluster.Submit(issuer, job), "failed", "issuer_gone");
  cr_assert_eq(cluster.StartsOf(id), 1);
}

// Guards against a second start while the entry that has the job is paused, and
// against a lost result after it resumes.
Test(process_submission, paused_entry, .timeout = kTestSeconds) {
  Cluster cluster;
  Entry& issuer = *cluster.entries()[0];
  Entry& other = *cluster.entries()[1];
  const std::string id = cluster.Reserve(issuer).front();
  const Json job = Cluster::Job(id, "once", kLong);
  const auto first = cluster.StartJob(issuer, job);
  WaitForStart(cluster, id);
  issuer.process->Pause();
  Json impatient = job;
  impatient["timeout_ms"] = 500;
  ExpectRefused(cluster.Submit(other, impatient), "unknown",
                "issuer_unreachable");
  issuer.process->Resume();
  for (const Answer& answer :
       {cluster.Submit(other, job), cluster.caller().Wait(first)}) {
    // If the pause is longer than the attempt timeout, the outcome is unknown.
    if (answer.status != 200) {
      ExpectRefused(answer, "unknown", "task_outcome_unknown");
    }
  }
  cr_assert_eq(cluster.StartsOf(id), 1);
}

// Guards against a start past the deadline: the deadline of a queued job passes
// during a pause of the entry, and slots are free when the entry resumes.
Test(process_submission,
     nothing_starts_past_its_deadline_after_a_pause,
     .timeout = kTestSeconds) {
  Cluster cluster({.entries_per_domain = 1, .upstreams_per_domain = 1});
  Entry& entry = *cluster.entries()[0];
  const auto ids = cluster.Reserve(entry, 2);
  // More tasks than the upstream accepts from the entry.
  const auto busy = cluster.StartJob(
      entry, Cluster::Job(ids[0], "once", {{"run_ms", 700}}, 9));
  cr_assert(
      cluster.caller().Until([&] { return cluster.StartsOf(ids[0]) == 8; }));
  Json job = Cluster::Job(ids[1], "once", kShort);
  job["timeout_ms"] = 600;
  const auto queued = cluster.StartJob(entry, job);
  cluster.caller().Sleep(100);
  entry.process->Pause();
  cluster.caller().Sleep(1500);
  entry.process->Resume();
  const Answer answer = cluster.caller().Wait(queued);
  cr_assert(answer.body.value("run", "") == "not_run", "%s",
            Text(answer).c_str());
  ExpectComplete(cluster.caller().Wait(busy));
  cluster.caller().Sleep(200);
  cr_assert_eq(cluster.StartsOf(ids[1]), 0);
}

// Guards against a shutdown that aborts a request, and against an entry that
// accepts new work while it drains.
Test(process_submission,
     terminated_entry_answers_before_it_ends,
     .timeout = kTestSeconds) {
  Cluster cluster({.entry_settings = {{"drain", {{"notice_ms", 500}}}}});
  Entry& entry = *cluster.entries()[0];
  const auto ids = cluster.Reserve(entry, 2);
  const auto call =
      cluster.StartJob(entry, Cluster::Job(ids[0], "once", kLong));
  WaitForStart(cluster, ids[0]);
  entry.process->Terminate();
  cr_assert(cluster.caller().Until([&] {
    return cluster.caller()
               .Get(entry.observability.value(), "/readyz")
               .status == 503;
  }));
  cr_assert_neq(cluster.caller()
                    .Post(entry.caller.value(), "/v1/ids",
                          {{"owner", "o1"}, {"count", 1}})
                    .status,
                200);
  ExpectComplete(cluster.caller().Wait(call));
  cr_assert(cluster.caller().Until([&] { return entry.process->HasExited(); }));
  cr_assert_eq(entry.process->exit_code(), 0);
  cluster.CheckStarts();
}

// Guards against a false "not_run": no task of a job that was refused with it
// may have been started, also when the job is submitted again under the same
// id.
Test(process_submission, refused_jobs_have_no_start, .timeout = kTestSeconds) {
  Cluster cluster({.entries_per_domain = 1, .upstreams_per_domain = 1});
  Entry& entry = *cluster.entries()[0];
  cluster.Apply(entry, 20);
  const auto ids = cluster.Reserve(entry, 30);
  std::vector<Caller::Pending> calls;
  for (const std::string& id : ids) {
    calls.push_back(cluster.StartJob(
        entry, Cluster::Job(id, "once", {{"run_ms", 50}}, 10)));
  }
  int refused = 0;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const Answer answer = cluster.caller().Wait(calls[i]);
    if (answer.status == 200) {
      cr_assert_eq(cluster.StartsOf(ids[i]), 10);
      continue;
    }
    ++refused;
    cr_assert(answer.body.value("run", "") == "not_run", "%s",
              Text(answer).c_str());
    const Answer again = cluster.Submit(
        entry, Cluster::Job(ids[i], "once", {{"run_ms", 50}}, 10));
    cr_assert(again.body.value("run", "") == "not_run", "%s",
              Text(again).c_str());
    cr_assert_eq(cluster.StartsOf(ids[i]), 0);
  }
  cr_assert_gt(refused, 0, "the load must exceed the queue limit");
  cluster.CheckStarts();
}

// Guards against two jobs under one submission key, at the same or at different
// entries, also when the response to the claim is lost.
Test(process_submission, one_key_starts_once, .timeout = kTestSeconds) {
  Cluster cluster;
  for (const char* fault : {"none", "lose_answers"}) {
    if (std::string(fault) != "none") {
      cluster.SetFault(cluster.kv(), {{fault, 1}});
    }
    Json job = Cluster::Job("", "once", {{"run_ms", 200}, {"result", fault}});
    job.erase("id");
    job["key"] = std::string("key/") + fault;
    std::vector<Caller::Pending> calls;
    for (const auto& entry : cluster.entries()) {
      calls.push_back(cluster.StartJob(*entry, job));
      calls.push_back(cluster.StartJob(*entry, job));
    }
    Json id;
    for (const Caller::Pending& call : calls) {
      const Answer answer = cluster.caller().Wait(call);
      ExpectComplete(answer);
      cr_assert(id.is_null() || answer.body["id"] == id);
      id = answer.body["id"];
    }
    cr_assert_eq(cluster.StartsOf(id.get<std::string>()), 1);
  }
  cr_assert_eq(cluster.Starts().size(), 2u, "one task for each key");
}

// Guards against a start under a key that could not be claimed, and against an
// outage of the key-value service that stops jobs with reserved ids.
Test(process_submission,
     store_outage_refuses_keys_only,
     .timeout = kTestSeconds) {
  Cluster cluster({.entries_per_domain = 1});
  Entry& entry = *cluster.entries()[0];
  cluster.SetFault(cluster.kv(), {{"down", true}});
  Json job = Cluster::Job("", "once", kShort);
  job.erase("id");
  job["key"] = "key";
  // "unknown", because another entry may have run the same submission.
  ExpectRefused(cluster.Submit(entry, job), "unknown", "key_claim_unavailable");
  cr_assert(cluster.Starts().empty());
  const std::string id = cluster.Reserve(entry).front();
  ExpectComplete(cluster.Submit(entry, Cluster::Job(id, "once", kShort)));
}

}  // namespace
}  // namespace jaypick::testing
