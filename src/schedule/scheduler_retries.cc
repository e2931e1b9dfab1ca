// Retries of runs that failed, were lost, or take unusually long.
#include <optional>
#include <utility>
#include <vector>

#include "schedule/scheduler.h"

namespace jaypick::schedule {
namespace {

LossCause LossCauseOf(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kUpstreamCrashed:
      return LossCause::kCrashed;
    case RunOutcome::kUpstreamLikelyCrashed:
      return LossCause::kLikelyCrashed;
    default:
      return LossCause::kSilent;
  }
}

}  // namespace

std::optional<RefusalReason> Scheduler::MarkSuspects(Job& job) {
  std::optional<RefusalReason> reason;
  for (const TaskId& suspect :
       options_.crash_history->SuspectsOf(job.spec.id)) {
    if (suspect.step >= job.steps.size() ||
        suspect.index >= job.steps[suspect.step].tasks.size()) {
      continue;
    }
    job.steps[suspect.step].tasks[suspect.index].is_suspected = true;
    if (reason != RefusalReason::kTaskFailed) {
      const auto reason_of_task = CheckLosses(suspect);
      reason = reason_of_task ? reason_of_task : reason;
    }
  }
  return reason;
}

// While no upstream is ready, this instance is probably cut off itself, and
// silence says nothing about the task.
void Scheduler::RecordLoss(TimePoint now,
                           Job& job,
                           const Running& run,
                           RunOutcome outcome) {
  const LossCause cause = LossCauseOf(outcome);
  if (cause == LossCause::kSilent && !fleet_.IsAnyReady()) {
    return;
  }
  const TaskId task{.job = job.spec.id, .step = run.step, .index = run.index};
  options_.crash_history->Record(
      now, task,
      {.id = fleet_.upstream(run.upstream).id,
       .started_unix_ms = run.upstream_started_unix_ms},
      cause);
  job.steps[run.step].tasks[run.index].is_suspected = true;
  const LossCount losses = options_.crash_history->LossesOf(task);
  Trace(now, job, "suspected",
        "crashed=" + std::to_string(losses.crashed) +
            " likely_crashed=" + std::to_string(losses.likely_crashed) +
            " silent=" + std::to_string(losses.silent));
}

std::optional<RefusalReason> Scheduler::CheckLosses(const TaskId& task) const {
  const LossCount losses = options_.crash_history->LossesOf(task);
  const std::uint32_t crashes = losses.crashed + losses.likely_crashed;
  if (losses.crashed >= options_.max_crashes) {
    return RefusalReason::kTaskFailed;
  }
  if (crashes >= options_.max_crashes ||
      crashes + losses.silent >= options_.max_upstreams_lost) {
    return RefusalReason::kRunsLost;
  }
  return std::nullopt;
}

void Scheduler::Retry(TimePoint now,
                      Job& job,
                      std::uint32_t step_number,
                      std::uint32_t index,
                      RunOutcome outcome,
                      Actions& actions) {
  StepState& step = job.steps[step_number];
  Task& task = step.tasks[index];
  if (outcome == RunOutcome::kFailed) {
    ++task.failures;
  } else if (DidStart(outcome)) {
    ++task.lost;
  }
  if (outcome != RunOutcome::kNoRoom && outcome != RunOutcome::kNotStarted) {
    task.avoided_upstreams.push_back(task.upstream);
  }
  task.state = TaskState::kWaiting;
  ++step.waiting;
  ++job.waiting;
  ++waiting_;
  if (outcome == RunOutcome::kTakenOver) {
    Fail(now, job, RefusalReason::kCommandLost, actions);
    return;
  }
  if (task.failures >= job.spec.kind.max_attempts) {
    Fail(now, job, RefusalReason::kTaskFailed, actions);
    return;
  }
  if (task.is_suspected) {
    const auto reason =
        CheckLosses({.job = job.spec.id, .step = step_number, .index = index});
    if (reason) {
      Fail(now, job, *reason, actions);
      return;
    }
  }
  if (task.lost > options_.max_extra_runs || !CanRetryInTime(now, job, step)) {
    Fail(now, job, RefusalReason::kRunsLost, actions);
    return;
  }
  if (!job.is_linked()) {
    Enqueue(job);
  }
}

// Returns whether another run can end before the deadline by the most
// optimistic estimate.
bool Scheduler::CanRetryInTime(TimePoint now,
                               const Job& job,
                               const StepState& step) const {
  const double shortest = static_cast<double>(step.predicted.count()) /
                          model_.Spread(job.spec.kind.name);
  return now + Duration(static_cast<Duration::rep>(shortest)) < job.deadline;
}

void Scheduler::CheckStragglers(TimePoint now, Actions& actions) {
  // A run that is stopped could not be retried.
  if (evacuation_.PreventsAllStarts(now)) {
    return;
  }
  std::vector<const Running*> stragglers;
  for (const auto& [id, run] : running_) {
    const StepState& step = run.job->steps[run.step];
    const Task& task = step.tasks[run.index];
    if (!task.is_stopping && IsStraggler(now, task, step)) {
      stragglers.push_back(&run);
    }
  }
  for (const Running* const straggler : stragglers) {
    const Running& run = *straggler;
    Job& job = *run.job;
    StepState& step = job.steps[run.step];
    Task& task = step.tasks[run.index];
    if (!task.is_overdue) {
      task.is_overdue = true;
      if (step.is_learned) {
        fleet_.RecordRunTime(run.upstream, step.predicted, now - task.started);
      }
      Trace(now, job, "overdue", fleet_.upstream(run.upstream).id);
    }
    // Retried only if a healthy upstream could run the task at once and in
    // time, and only once: a task that takes long on two upstreams is long
    // itself.
    if (job.has_ended || task.lost > 0 || !CanRetryInTime(now, job, step)) {
      continue;
    }
    PlacementQuery query = QueryFor(job, run.step);
    std::vector<std::uint32_t> avoided_upstreams = task.avoided_upstreams;
    avoided_upstreams.push_back(run.upstream);
    query.avoided_upstreams = &avoided_upstreams;
    query.is_retry = true;
    if (fleet_.Choose(query, now)) {
      Trace(now, job, "stop_straggler", fleet_.upstream(run.upstream).id);
      Stop(job, run.step, run.index, actions);
    }
  }
}

bool Scheduler::IsStraggler(TimePoint now,
                            const Task& task,
                            const StepState& step) const {
  const Duration age = now - task.started;
  const bool has_sibling = step.longest_run > Duration(0);
  // A declared run time alone is too inaccurate to detect stragglers.
  if (age < options_.min_straggler_age || !task.is_run_time_valid ||
      !(has_sibling || step.is_learned)) {
    return false;
  }
  const double factor = has_sibling ? options_.straggler_sibling_factor
                                    : options_.straggler_factor;
  const Duration expected = has_sibling ? step.longest_run : step.predicted;
  return static_cast<double>(age.count()) >
         factor * fleet_.RelativeRunTime(task.upstream) *
             static_cast<double>(expected.count());
}

}  // namespace jaypick::schedule
