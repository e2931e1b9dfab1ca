// Admission, placement, retries and ends of jobs in the scheduler.

// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include "tests/support/scheduler_rig.h"
#include <criterion/criterion.h>
// clang-format on

#include <algorithm>
#include <map>
#include <string>

namespace jaypick::schedule {
namespace {

using std::chrono::milliseconds;

KindPolicy Kind(std::uint32_t attempts = 3) {
  return {.name = "match",
          .service = "fitting",
          .max_attempts = attempts,
          .stretch = 1.6,
          .target_latency = milliseconds(60)};
}

// Guards against an answer before the last task has ended.
Test(scheduler, answers_when_all_tasks_have_succeeded) {
  SchedulerRig rig;
  rig.AddUpstream("u1", 16000);
  rig.Submit("a", Kind(), 2, 6800, milliseconds(100));
  rig.RunFor(milliseconds(90));
  cr_assert(rig.results.empty());
  rig.RunFor(milliseconds(30));
  cr_assert(std::holds_alternative<Completed>(rig.results.at("a").outcome));
  cr_assert_eq(rig.scheduler().jobs(), 0);
  cr_assert(rig.violations.empty());
}

// Guards against a step that starts before those that it depends on.
Test(scheduler, steps_wait_for_those_that_they_depend_on) {
  SchedulerRig rig;
  rig.AddUpstream("u1", 64000);
  JobSpec job{.id = "a", .kind = Kind(), .payload = "p"};
  job.steps = {{.tasks = 2, .needs = {.milli_cpus = 1000}},
               {.tasks = 1, .needs = {.milli_cpus = 1000}},
               {.tasks = 1, .needs = {.milli_cpus = 1000}, .after = {0, 1}}};
  rig.Submit(job, std::chrono::seconds(3));
  rig.RunFor(milliseconds(50));
  cr_assert_eq(rig.starts.size(), 3);
  rig.RunFor(milliseconds(300));
  cr_assert_eq(rig.starts.size(), 4, "%zu starts", rig.starts.size());
  cr_assert_eq(rig.starts.back().first.step, 2);
  cr_assert_eq(rig.CountCompleted("a"), 1);
}

// Guards against a failed task that is not retried elsewhere.
Test(scheduler, failed_task_is_retried_on_another_upstream) {
  SchedulerRig rig;
  const auto bad = rig.AddUpstream("bad", 16000);
  rig.AddUpstream("good", 16000);
  rig.plan = [&](const RunId&, std::uint32_t upstream) {
    return RunPlan{
        .takes = milliseconds(20),
        .end = upstream == bad ? RunOutcome::kFailed : RunOutcome::kSucceeded};
  };
  rig.Submit("a", Kind(2), 1, 6800, milliseconds(20));
  rig.RunFor(milliseconds(100));
  cr_assert_eq(rig.CountCompleted("a"), 1);
  cr_assert_neq(rig.starts.back().second, bad);
}

// Guards against more failed attempts than the kind allows.
Test(scheduler, job_fails_after_its_last_attempt) {
  SchedulerRig rig;
  for (const char* const id : {"u1", "u2", "u3", "u4"}) {
    rig.AddUpstream(id, 16000);
  }
  rig.plan = [](const RunId&, std::uint32_t) {
    return RunPlan{.takes = milliseconds(20), .end = RunOutcome::kFailed};
  };
  rig.Submit("a", Kind(2), 1, 6800, milliseconds(20));
  rig.RunFor(milliseconds(200));
  cr_assert_eq(rig.starts.size(), 2);
  const auto& outcome = rig.results.at("a").outcome;
  cr_assert(std::get<Failed>(outcome).reason == RefusalReason::kTaskFailed);
}

// Guards against a task that takes one upstream after another down.
Test(scheduler, task_is_given_up_after_it_has_outlived_two_upstreams) {
  SchedulerRig rig;
  for (const char* const id : {"u1", "u2", "u3", "u4", "u5"}) {
    rig.AddUpstream(id, 16000);
  }
  rig.plan = [](const RunId&, std::uint32_t) {
    return RunPlan{.takes = milliseconds(20),
                   .end = RunOutcome::kUpstreamCrashed};
  };
  rig.Submit("a", Kind(3), 1, 6800, milliseconds(20));
  rig.RunFor(milliseconds(200));
  cr_assert_eq(rig.starts.size(), 2);
  const auto& outcome = rig.results.at("a").outcome;
  cr_assert(std::get<Failed>(outcome).reason == RefusalReason::kTaskFailed);
}

// Guards against a task that crashes further upstreams each time its job is
// submitted again: the count of crashes ended with the answer to the job.
Test(scheduler, crashes_count_when_the_job_is_submitted_again) {
  SchedulerRig rig;
  rig.AddUpstream("u1", 16000);
  rig.AddUpstream("u2", 16000);
  rig.plan = [](const RunId&, std::uint32_t) {
    return RunPlan{.takes = milliseconds(25),
                   .end = RunOutcome::kUpstreamCrashed};
  };
  // No second run can end before the caller leaves.
  for (int submission = 0; submission < 4; ++submission) {
    rig.Submit("a", Kind(3), 1, 6800, milliseconds(20), milliseconds(30));
    rig.RunFor(milliseconds(100));
    Fleet& fleet = rig.scheduler().fleet();
    for (std::uint32_t number = 0; number < fleet.size(); ++number) {
      Upstream restarted = fleet.upstream(number);
      ++restarted.started_unix_ms;
      fleet.Update(restarted);
    }
  }
  cr_assert_eq(rig.starts.size(), 2, "started %zu times", rig.starts.size());
  const auto& outcome = rig.results.at("a").outcome;
  cr_assert(std::get<Failed>(outcome).reason == RefusalReason::kTaskFailed);
}

// Guards against a failing upstream that gets tasks again since its entry holds
// a wrong start time.
Test(scheduler, ejection_ends_when_another_incarnation_responds) {
  SchedulerRig rig;
  const std::uint32_t number = rig.AddUpstream("u1", 16000);
  Scheduler& scheduler = rig.scheduler();
  Fleet& fleet = scheduler.fleet();
  scheduler.OnUpstreamResponse({.id = "u1", .started_unix_ms = 1});
  for (int failure = 0; failure < 2; ++failure) {
    fleet.Occupy(number, {}, rig.now());
    fleet.Release(number, {}, HealthSignal::kFailed, rig.now());
  }
  cr_assert(fleet.is_ejected(number, rig.now()));
  Upstream entry = fleet.upstream(number);
  entry.started_unix_ms = 9000;
  fleet.Update(entry);
  cr_assert(fleet.is_ejected(number, rig.now()));
  scheduler.OnUpstreamResponse({.id = "u1", .started_unix_ms = 2});
  cr_assert(!fleet.is_ejected(number, rig.now()));
}

// Guards against a sound task that is given up because its leases lapsed while
// its leader was paused, or because upstreams fell silent for a while.
Test(scheduler, sound_task_outlives_silent_upstreams) {
  for (const RunOutcome outcome :
       {RunOutcome::kLeaseExpired, RunOutcome::kStartUnconfirmed,
        RunOutcome::kUpstreamSilent}) {
    SchedulerRig rig;
    for (const char* const id : {"u1", "u2", "u3", "u4", "u5"}) {
      rig.AddUpstream(id, 16000);
    }
    rig.plan = [&](const RunId& run, std::uint32_t) {
      return RunPlan{.takes = milliseconds(20),
                     .end = run.run <= 2 ? outcome : RunOutcome::kSucceeded};
    };
    rig.Submit("a", Kind(3), 1, 6800, milliseconds(20));
    rig.RunFor(milliseconds(200));
    cr_assert_eq(rig.CountCompleted("a"), 1, "after %s",
                 std::string(ToString(outcome)).c_str());
  }
}

// Guards against a sound task whose job is shown as failed because upstreams
// fell silent, and against a task that is started on one upstream after another
// as no crash is confirmed.
Test(scheduler, task_is_not_started_again_after_three_silent_upstreams) {
  for (const RunOutcome end :
       {RunOutcome::kStartUnconfirmed, RunOutcome::kUpstreamSilent}) {
    SchedulerRig rig;
    for (const char* const id : {"u1", "u2", "u3", "u4", "u5"}) {
      rig.AddUpstream(id, 16000);
    }
    rig.plan = [&](const RunId&, std::uint32_t) {
      return RunPlan{.takes = milliseconds(20), .end = end};
    };
    for (int submission = 0; submission < 3; ++submission) {
      rig.Submit("a", Kind(3), 1, 6800, milliseconds(20));
      rig.RunFor(milliseconds(300));
      cr_assert_eq(rig.starts.size(), 3);
      const auto& outcome = rig.results.at("a").outcome;
      cr_assert(std::get<Failed>(outcome).reason == RefusalReason::kRunsLost);
    }
  }
}

// Guards against a sound task whose job is shown as failed because of cuts that
// look like crashes, and against a task that is started again although it has
// probably crashed two upstreams.
Test(scheduler, likely_crashes_are_decided_by_the_next_response) {
  for (const bool have_crashed : {false, true}) {
    SchedulerRig rig;
    for (const char* const id : {"u1", "u2", "u3", "u4", "u5"}) {
      rig.AddUpstream(id, 16000);
    }
    bool is_cut = true;
    rig.plan = [&](const RunId&, std::uint32_t) {
      return RunPlan{.takes = milliseconds(20),
                     .end = is_cut ? RunOutcome::kUpstreamLikelyCrashed
                                   : RunOutcome::kSucceeded};
    };
    const auto submit = [&] {
      rig.Submit("a", Kind(3), 1, 6800, milliseconds(20));
      rig.RunFor(milliseconds(200));
    };
    for (int submission = 0; submission < 2; ++submission) {
      submit();
      cr_assert_eq(rig.starts.size(), 2);
      const auto& outcome = rig.results.at("a").outcome;
      cr_assert(std::get<Failed>(outcome).reason == RefusalReason::kRunsLost);
    }
    is_cut = false;
    const std::int64_t restarts = have_crashed ? 1 : 0;
    for (std::size_t run = 0; run < 2; ++run) {
      const Upstream& upstream =
          rig.scheduler().fleet().upstream(rig.starts[run].second);
      rig.scheduler().OnUpstreamResponse(
          {.id = upstream.id,
           .started_unix_ms = upstream.started_unix_ms + restarts});
    }
    submit();
    const auto& outcome = rig.results.at("a").outcome;
    if (have_crashed) {
      cr_assert_eq(rig.starts.size(), 2);
      cr_assert(std::get<Failed>(outcome).reason == RefusalReason::kTaskFailed);
    } else {
      cr_assert_eq(rig.starts.size(), 3);
      cr_assert(std::holds_alternative<Completed>(outcome));
    }
  }
}

// Guards against a cut that counts as a crash because the list of upstreams
// still showed the incarnation before the one that ran the task.
Test(scheduler, losses_count_for_the_incarnation_that_responded) {
  SchedulerRig rig;
  for (const char* const id : {"u1", "u2", "u3"}) {
    rig.AddUpstream(id, 16000);
  }
  const auto respond = [&] {
    for (const char* const id : {"u1", "u2", "u3"}) {
      rig.scheduler().OnUpstreamResponse({.id = id, .started_unix_ms = 7});
    }
  };
  respond();
  rig.plan = [](const RunId& run, std::uint32_t) {
    return RunPlan{.takes = milliseconds(20),
                   .end = run.run <= 2 ? RunOutcome::kUpstreamLikelyCrashed
                                       : RunOutcome::kSucceeded};
  };
  rig.Submit("a", Kind(3), 1, 6800, milliseconds(20));
  // The cut of the first upstream ends before the second run does.
  rig.RunFor(milliseconds(30));
  cr_assert_eq(rig.starts.size(), 2);
  respond();
  rig.RunFor(milliseconds(100));
  cr_assert_eq(rig.CountCompleted("a"), 1, "%s",
               Describe(rig.results.at("a").outcome).c_str());
}

// Guards against runs of sound tasks that are lost beside one that crashes its
// upstream each time: on bara-jp, 39 crashes took 164 runs with them.
Test(scheduler, suspected_task_runs_alone) {
  SchedulerRig rig;
  std::uint32_t upstreams = 0;
  for (const char* const id : {"u1", "u2", "u3", "u4"}) {
    rig.AddUpstream(id, 16000);
    ++upstreams;
  }
  std::optional<std::uint32_t> isolated;
  rig.plan = [&](const RunId& run, std::uint32_t upstream) {
    if (run.job != "deadly") {
      cr_assert(upstream != isolated, "placed beside a suspected task");
      return RunPlan{.takes = milliseconds(40)};
    }
    if (run.run == 2) {
      cr_assert(std::ranges::none_of(
                    rig.running_upstreams(),
                    [&](std::uint32_t used) { return used == upstream; }),
                "placed beside other tasks while an upstream is idle");
      isolated = upstream;
    }
    return RunPlan{.takes = milliseconds(60),
                   .end = RunOutcome::kUpstreamCrashed};
  };
  rig.Submit("deadly", Kind(3), 1, 6800, milliseconds(20));
  for (int job = 0; job < 40; ++job) {
    rig.Submit("sound" + std::to_string(job), Kind(3), 2, 6800,
               milliseconds(40));
    rig.RunFor(milliseconds(25));
    if (rig.Count("deadly") > 0) {
      isolated.reset();
    }
  }
  rig.RunFor(milliseconds(200));
  cr_assert_eq(rig.CountCompleted("sound"), 40);
  cr_assert_eq(rig.Count("deadly"), 1);
  cr_assert(rig.scheduler().fleet().size() == upstreams);
  for (std::uint32_t number = 0; number < upstreams; ++number) {
    cr_assert_not(rig.scheduler().fleet().is_isolated(number));
  }
}

// Guards against a sound task that is given up because this instance is cut off
// from all of its upstreams.
Test(scheduler, losses_count_against_no_task_while_no_upstream_is_ready) {
  SchedulerRig rig;
  std::vector<std::uint32_t> numbers;
  for (const char* const id : {"u1", "u2", "u3", "u4"}) {
    numbers.push_back(rig.AddUpstream(id, 16000));
  }
  int runs = 0;
  rig.plan = [&](const RunId&, std::uint32_t) {
    return RunPlan{.takes = milliseconds(20),
                   .end = ++runs <= 3 ? RunOutcome::kUpstreamSilent
                                      : RunOutcome::kSucceeded};
  };
  const auto set_ready = [&](bool is_ready) {
    for (const std::uint32_t number : numbers) {
      rig.scheduler().fleet().SetReady(number, is_ready, rig.now());
    }
  };
  rig.Submit("a", Kind(3), 1, 6800, milliseconds(20));
  for (int cut = 0; cut < 3; ++cut) {
    rig.RunFor(milliseconds(5));
    set_ready(false);
    rig.RunFor(milliseconds(30));
    set_ready(true);
  }
  rig.RunFor(milliseconds(100));
  cr_assert_eq(rig.CountCompleted("a"), 1);
}

// Guards against a start over a capacity that has shrunk under running tasks
// (LIMIT), also while those are being stopped.
Test(scheduler, capacity_that_shrinks_takes_effect_at_once) {
  SchedulerRig rig({.sheds_load = false});
  const std::uint32_t number = rig.AddUpstream("u1", 16000);
  rig.plan = [](const RunId&, std::uint32_t) {
    return RunPlan{.takes = milliseconds(100)};
  };
  rig.Submit("a", Kind(1), 2, 6000, milliseconds(100));
  rig.RunFor(milliseconds(10));
  cr_assert_eq(rig.starts.size(), 2);
  Upstream shrunk = rig.scheduler().fleet().upstream(number);
  shrunk.capacity.milli_cpus = 8000;
  rig.scheduler().fleet().Update(shrunk);
  rig.Abandon("a");
  rig.Submit("b", Kind(1), 1, 2500, milliseconds(20));
  rig.RunFor(milliseconds(1));
  cr_assert_eq(rig.starts.size(), 2, "what is being stopped still counts");
  rig.RunFor(milliseconds(150));
  cr_assert_eq(rig.CountCompleted("b"), 1);
  rig.Submit("c", Kind(1), 2, 6000, milliseconds(50));
  rig.RunFor(milliseconds(20));
  cr_assert_eq(rig.starts.size(), 4, "the tasks of c run one after another");
  shrunk.capacity.milli_cpus = 16000;
  rig.scheduler().fleet().Update(shrunk);
  rig.RunFor(milliseconds(5));
  cr_assert_eq(rig.starts.size(), 5);
}

// Guards against runs that continue for a job that has been answered.
Test(scheduler, running_tasks_are_stopped_when_the_job_fails) {
  SchedulerRig rig;
  rig.AddUpstream("u1", 64000);
  rig.plan = [](const RunId& run, std::uint32_t) {
    return run.index == 0
               ? RunPlan{.takes = milliseconds(20), .end = RunOutcome::kFailed}
               : RunPlan{.takes = std::chrono::seconds(2)};
  };
  rig.Submit("a", Kind(1), 3, 1000, milliseconds(20));
  rig.RunFor(milliseconds(100));
  cr_assert_eq(rig.stops.size(), 2);
  cr_assert_eq(rig.scheduler().running_tasks(), 0);
}

// Guards against a job that is reported as refused (not run) after a start.
Test(scheduler, started_job_is_never_refused) {
  SchedulerRig rig;
  rig.AddUpstream("u1", 16000);
  rig.plan = [](const RunId&, std::uint32_t) {
    return RunPlan{.takes = std::chrono::seconds(5)};
  };
  rig.Submit("a", Kind(), 1, 6800, milliseconds(100), milliseconds(300));
  rig.RunFor(milliseconds(400));
  const auto& outcome = rig.results.at("a").outcome;
  cr_assert(std::get<Failed>(outcome).reason == RefusalReason::kDeadline);
}

// Guards against counting a start that was refused for lack of capacity.
Test(scheduler, start_refused_for_lack_of_capacity_is_placed_again) {
  SchedulerRig rig;
  rig.AddUpstream("u1", 16000);
  int starts = 0;
  rig.plan = [&](const RunId&, std::uint32_t) {
    return ++starts == 1
               ? RunPlan{.takes = milliseconds(1), .end = RunOutcome::kNoRoom}
               : RunPlan{.takes = milliseconds(50)};
  };
  rig.Submit("a", Kind(1), 1, 6800, milliseconds(50));
  rig.RunFor(milliseconds(200));
  cr_assert_eq(rig.CountCompleted("a"), 1);
  cr_assert_eq(rig.starts.back().first.run, 2);
}

// Guards against two concurrent runs of one task when a caller resubmits.
Test(scheduler, resubmission_joins_the_job) {
  SchedulerRig rig;
  rig.AddUpstream("u1", 16000);
  rig.Submit("a", Kind(), 1, 6800, milliseconds(100));
  rig.RunFor(milliseconds(50));
  rig.Submit("a", Kind(), 1, 6800, milliseconds(100));
  rig.RunFor(milliseconds(100));
  cr_assert_eq(rig.starts.size(), 1);
  cr_assert_eq(rig.most_runs_of_a_task, 1);
}

// An abandoned job whose runs take long, and are being stopped.
void AbandonRunningJob(SchedulerRig& rig) {
  rig.AddUpstream("u1", 16000);
  rig.plan = [](const RunId&, std::uint32_t) {
    return RunPlan{.takes = std::chrono::seconds(2)};
  };
  rig.Submit("a", Kind(), 1, 6800, milliseconds(100));
  rig.RunFor(milliseconds(50));
  rig.Abandon("a");
  cr_assert_eq(rig.stops.size(), 1);
  rig.results.clear();
}

// Guards against a second run while runs of an abandoned job are being stopped,
// and against a refusal meanwhile: whoever gets it may start the job elsewhere.
Test(scheduler, resubmission_waits_until_abandoned_runs_have_ended) {
  SchedulerRig rig;
  AbandonRunningJob(rig);
  rig.Submit("a", Kind(), 1, 6800, milliseconds(100));
  rig.Submit("a", Kind(), 1, 6800, milliseconds(100));
  rig.plan = [](const RunId&, std::uint32_t) {
    return RunPlan{.takes = milliseconds(100)};
  };
  cr_assert_eq(rig.starts.size(), 1);
  cr_assert(rig.results.empty());
  rig.RunFor(milliseconds(50));
  cr_assert_eq(rig.starts.size(), 2);
  cr_assert_eq(rig.starts.back().first.run, 2);
  rig.RunFor(milliseconds(150));
  cr_assert_eq(rig.CountCompleted("a"), 1);
  cr_assert_eq(rig.most_runs_of_a_task, 1);
  cr_assert_eq(rig.scheduler().jobs(), 0);
}

// Guards against a resubmission that starts beside a run at an upstream that
// another leader has taken over.
Test(scheduler, resubmission_does_not_start_after_its_run_was_taken_over) {
  SchedulerRig rig;
  AbandonRunningJob(rig);
  rig.AddUpstream("u2", 16000);
  rig.Submit("a", Kind(), 1, 6800, milliseconds(100));
  Actions actions;
  rig.scheduler().OnRunEnded(rig.now(), rig.starts[0].first,
                             RunOutcome::kTakenOver, actions);
  cr_assert_eq(actions.size(), 1);
  const auto& ended = std::get<JobEnded>(actions.front());
  cr_assert(std::get<Failed>(ended.outcome).reason ==
            RefusalReason::kCommandLost);
}

// Guards against a resubmission that is kept from other domains after its runs
// have ended, and against one that is refused as if the job had not run.
Test(scheduler,
     resubmission_that_finds_no_upstream_is_refused_as_possibly_run) {
  SchedulerRig rig;
  AbandonRunningJob(rig);
  rig.Submit("a", Kind(), 1, 6800, milliseconds(100));
  rig.scheduler().fleet().Remove(rig.starts[0].second);
  rig.RunFor(milliseconds(50));
  const auto& refused = std::get<Refused>(rig.results.at("a").outcome);
  cr_assert(refused.may_have_run);
  cr_assert_eq(rig.starts.size(), 1);
}

// Guards against a resubmission that starts although its caller has left too.
Test(scheduler, resubmission_that_waits_ends_with_its_caller) {
  SchedulerRig rig;
  AbandonRunningJob(rig);
  rig.Submit("a", Kind(), 1, 6800, milliseconds(100));
  rig.Abandon("a");
  rig.RunFor(milliseconds(50));
  cr_assert_eq(rig.starts.size(), 1);
  cr_assert_eq(rig.scheduler().jobs(), 0);
}

// Guards against a resubmission that waits for runs that do not stop until its
// deadline has passed without an answer, and against a refusal of a job that
// has run.
Test(scheduler, resubmission_is_answered_at_its_deadline) {
  SchedulerRig rig({.sheds_load = false});
  const std::uint32_t upstream = rig.AddUpstream("u1", 16000);
  Actions actions;
  Scheduler& scheduler = rig.scheduler();
  const JobSpec spec{.id = "a",
                     .kind = Kind(),
                     .payload = "p",
                     .steps = {{.tasks = 1,
                                .needs = {.milli_cpus = 6800},
                                .declared_run_time = milliseconds(20)}}};
  const TimePoint start = rig.now();
  scheduler.Submit(start, spec, start, start + std::chrono::seconds(3),
                   actions);
  cr_assert_eq(std::get<StartTask>(actions.front()).upstream, upstream);
  scheduler.Abandon(start, "a", actions);
  actions.clear();
  const TimePoint deadline = start + milliseconds(200);
  scheduler.Submit(start, spec, start, deadline, actions);
  cr_assert(actions.empty());
  cr_assert_leq(*scheduler.next_wakeup(start), deadline);
  scheduler.Advance(deadline, actions);
  cr_assert_eq(actions.size(), 1);
  const auto& ended = std::get<JobEnded>(actions.front());
  cr_assert(std::get<Failed>(ended.outcome).reason == RefusalReason::kDeadline);
}

// Guards against new runs on a draining upstream.
Test(scheduler, draining_upstream_gets_nothing) {
  SchedulerRig rig;
  const auto number = rig.AddUpstream("u1", 16000);
  Upstream upstream = rig.scheduler().fleet().upstream(number);
  upstream.is_draining = true;
  rig.scheduler().fleet().Update(upstream);
  rig.Submit("a", Kind(), 1, 6800, milliseconds(100));
  rig.RunFor(milliseconds(100));
  cr_assert(rig.starts.empty());
  cr_assert_eq(rig.CountRefused("a"), 1);
}

// Guards against a task on an upstream without the label that it requires: the
// upstream has restarted as another kind, and the list shows its former one.
Test(scheduler, labels_are_those_of_the_incarnation_that_responds) {
  SchedulerRig rig;
  const auto number = rig.AddUpstream("u1", 16000);
  Fleet& fleet = rig.scheduler().fleet();
  Upstream upstream = fleet.upstream(number);
  upstream.labels = {"b"};
  fleet.Update(upstream);
  const auto submit = [&](const std::string& id, const std::string& label) {
    rig.Submit({.id = id,
                .kind = Kind(),
                .payload = "p",
                .steps = {{.tasks = 1,
                           .needs = {.milli_cpus = 1000},
                           .declared_run_time = milliseconds(100),
                           .required_label = label}}},
               std::chrono::seconds(3));
    return rig.starts.size();
  };
  rig.scheduler().OnUpstreamResponse({.id = "u1", .started_unix_ms = 1});
  cr_assert_eq(submit("before", "b"), 1);
  rig.scheduler().OnUpstreamResponse({.id = "u1", .started_unix_ms = 7});
  cr_assert_eq(submit("restarted", "b"), 1);
  // Any incarnation may run a task that requires no label.
  cr_assert_eq(submit("unlabelled", ""), 2);
  upstream.started_unix_ms = 7;
  fleet.Update(upstream);
  rig.RunFor(milliseconds(10));
  cr_assert_eq(rig.starts.size(), 3);
}

// Guards against queueing jobs that no upstream could ever run.
Test(scheduler, job_that_no_upstream_can_run_is_refused_at_once) {
  SchedulerRig rig;
  rig.AddUpstream("u1", 16000);
  rig.Submit("a", Kind(), 1, 17000, milliseconds(100));
  const auto& outcome = rig.results.at("a").outcome;
  cr_assert(std::get<Refused>(outcome).reason == RefusalReason::kNotOffered);
}

// Guards against an upstream that fails all tasks quickly and so attracts all
// work.
Test(scheduler, upstream_that_fails_everything_is_ejected) {
  SchedulerRig rig;
  const auto bad = rig.AddUpstream("bad", 16000);
  for (const char* const id : {"u1", "u2", "u3"}) {
    rig.AddUpstream(id, 16000);
  }
  rig.plan = [&](const RunId&, std::uint32_t upstream) {
    return RunPlan{
        .takes = milliseconds(upstream == bad ? 5 : 50),
        .end = upstream == bad ? RunOutcome::kFailed : RunOutcome::kSucceeded};
  };
  for (int i = 0; i < 100; ++i) {
    rig.Submit("a" + std::to_string(i), Kind(2), 1, 6800, milliseconds(50));
    rig.RunFor(milliseconds(20));
  }
  const auto at_bad = std::ranges::count_if(
      rig.starts, [&](const auto& start) { return start.second == bad; });
  cr_assert_leq(at_bad, 6, "%ld starts", static_cast<long>(at_bad));
  for (const auto& [id, result] : rig.results) {
    cr_assert(std::holds_alternative<Completed>(result.outcome), "%s",
              id.c_str());
  }
  rig.RunFor(milliseconds(100));
  cr_assert_eq(rig.CountCompleted("a"), 100);
}

// Guards against a stuck task that is not retried before the deadline of its
// job.
Test(scheduler, stuck_task_is_stopped_and_retried_elsewhere) {
  SchedulerRig rig;
  const auto stuck = rig.AddUpstream("hung", 16000);
  rig.AddUpstream("u2", 24000);
  rig.plan = [&](const RunId&, std::uint32_t upstream) {
    return RunPlan{.takes = upstream == stuck ? Duration(milliseconds(60'000))
                                              : Duration(milliseconds(60))};
  };
  // The run time of the kind is learned on the healthy upstream first.
  rig.scheduler().fleet().SetReady(stuck, false, rig.now());
  for (int i = 0; i < 10; ++i) {
    rig.Submit("known" + std::to_string(i), Kind(), 1, 6800, milliseconds(60));
    rig.RunFor(milliseconds(80));
  }
  rig.scheduler().fleet().SetReady(stuck, true, rig.now());
  rig.Submit("a", Kind(), 1, 6800, milliseconds(60));
  rig.RunFor(milliseconds(500));
  cr_assert_eq(rig.starts.size(), 12);
  cr_assert_eq(rig.CountCompleted("a"), 1);
  cr_assert_eq(rig.most_runs_of_a_task, 1);
  cr_assert_lt(rig.results.at("a").response_time, milliseconds(400));
}

// Guards against a job that fails because its longest task is stopped
// repeatedly. In a load run, four runs of one task were stopped.
Test(scheduler, task_that_is_long_everywhere_is_stopped_once_at_most) {
  SchedulerRig rig;
  for (const char* const id : {"u1", "u2", "u3", "u4", "u5", "u6"}) {
    rig.AddUpstream(id, 16000);
  }
  rig.plan = [](const RunId& run, std::uint32_t) {
    return RunPlan{.takes = milliseconds(run.index == 0 ? 100 : 450)};
  };
  rig.Submit("a", Kind(), 2, 6800, milliseconds(100));
  rig.RunFor(std::chrono::seconds(2));
  cr_assert_leq(rig.stops.size(), 1);
  cr_assert_eq(rig.CountCompleted("a"), 1);
}

// Guards against runs that start with knowledge of the upstreams that has run
// out, e.g. because the process was paused.
Test(scheduler, nothing_starts_after_the_start_limit) {
  SchedulerRig rig;
  rig.AddUpstream("u1", 16000);
  rig.scheduler().SetStartLimit(rig.now() + milliseconds(200));
  rig.Submit("before", Kind(), 1, 6800, milliseconds(100));
  rig.RunFor(milliseconds(195));
  cr_assert_eq(rig.starts.size(), 1);
  rig.RunFor(milliseconds(10));
  rig.Submit("after", Kind(), 1, 6800, milliseconds(100));
  rig.RunFor(milliseconds(50));
  cr_assert_eq(rig.starts.size(), 1);
  rig.scheduler().SetStartLimit(rig.now() + milliseconds(1000));
  rig.RunFor(milliseconds(200));
  cr_assert_eq(rig.starts.size(), 2);
  cr_assert_eq(rig.CountCompleted("after"), 1);
  cr_assert(rig.violations.empty());
}

// Guards against a start for a job that nobody may wait for any more, against
// one that is held for good, and against jobs that wait behind it.
Test(scheduler, job_that_is_not_attended_starts_once_it_is) {
  std::map<std::string, TimePoint> attended;
  TimePoint now{std::chrono::seconds(1000)};
  SchedulerRig rig({.attended_at =
                        [&](const std::string& job) {
                          const auto it = attended.find(job);
                          return it == attended.end() ? now : it->second;
                        },
                    .longest_unattended_start = milliseconds(350),
                    .sheds_load = false});
  const auto run_for = [&](Duration duration) {
    const TimePoint end = rig.now() + duration;
    while (rig.now() < end) {
      now = rig.now() + milliseconds(5);
      rig.RunFor(milliseconds(5));
    }
  };
  rig.AddUpstream("u1", 16000);
  rig.plan = [](const RunId&, std::uint32_t) {
    return RunPlan{.takes = milliseconds(400)};
  };
  rig.Submit("filler", Kind(), 2, 6800, milliseconds(400));
  attended["a"] = now;
  rig.Submit("a", Kind(), 2, 6800, milliseconds(400));
  rig.Submit("b", Kind(), 1, 6800, milliseconds(400));
  cr_assert_eq(rig.starts.size(), 2);
  run_for(milliseconds(500));
  cr_assert(rig.scheduler().has_unattended_jobs());
  cr_assert_eq(rig.starts.size(), 3);
  cr_assert_eq(rig.starts.back().first.job, "b");
  attended["a"] = now;
  run_for(milliseconds(10));
  cr_assert_eq(rig.starts.size(), 4);
  run_for(milliseconds(1000));
  cr_assert_eq(rig.CountCompleted(""), 3);
  cr_assert(!rig.scheduler().has_unattended_jobs());
  cr_assert(rig.violations.empty());
}
}  // namespace
}  // namespace jaypick::schedule
