// Runs that are repeated: failed, lost, and unusually long ones.
#include <utility>
#include <vector>

#include "schedule/scheduler.h"

namespace jaypick::schedule {

void Scheduler::Repeat(TimePoint now,
                       Job& job,
                       std::uint32_t step_number,
                       std::uint32_t index,
                       RunOutcome end,
                       Actions& actions) {
  StepState& step = job.steps[step_number];
  Task& task = step.tasks[index];
  if (end == RunOutcome::kFailed) {
    ++task.failures;
  } else if (DidStart(end)) {
    ++task.lost;
  }
  if (end != RunOutcome::kNoRoom && end != RunOutcome::kNotStarted) {
    task.avoided_upstreams.push_back(task.upstream);
  }
  task.state = TaskState::kWaiting;
  ++step.waiting;
  ++job.waiting;
  ++waiting_;
  if (end == RunOutcome::kTakenOver) {
    Fail(now, job, RefusalReason::kCommandLost, actions);
    return;
  }
  if (task.failures >= job.spec.kind.max_attempts) {
    Fail(now, job, RefusalReason::kTaskFailed, actions);
    return;
  }
  if (task.lost > options_.max_extra_runs || !MayRepeat(now, job, step)) {
    Fail(now, job, RefusalReason::kRunsLost, actions);
    return;
  }
  if (!job.is_linked()) {
    Enqueue(job);
  }
}

// Whether another run can end in time, by the kindest estimate.
bool Scheduler::MayRepeat(TimePoint now,
                          const Job& job,
                          const StepState& step) const {
  const double kindest = static_cast<double>(step.predicted.count()) /
                         model_.Spread(job.spec.kind.name);
  return now + Duration(static_cast<Duration::rep>(kindest)) < job.deadline;
}

void Scheduler::CheckStragglers(TimePoint now, Actions& actions) {
  std::vector<Running> stragglers;
  for (const auto& [id, run] : running_) {
    const StepState& step = run.job->steps[run.step];
    const Task& task = step.tasks[run.index];
    if (!task.is_stopping && IsStraggler(now, task, step)) {
      stragglers.push_back(run);
    }
  }
  for (const Running& run : stragglers) {
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
    // Repeated only where a sound upstream could run it in time at once, and
    // only once: a task that takes long on two upstreams is long.
    if (job.has_ended || task.lost > 0 || !MayRepeat(now, job, step)) {
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
  // A declared run time alone is too far off to judge by.
  if (age < options_.min_straggler_age || !task.is_run_time_valid ||
      !(has_sibling || step.is_learned)) {
    return false;
  }
  const double factor = has_sibling ? options_.straggler_sibling_factor
                                    : options_.straggler_factor;
  const Duration expected = has_sibling ? step.longest_run : step.predicted;
  return static_cast<double>(age.count()) >
         factor * static_cast<double>(expected.count());
}

}  // namespace jaypick::schedule
