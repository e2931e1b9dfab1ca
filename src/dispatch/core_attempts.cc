// Starts attempts and handles their outcomes and timeouts.
#include <algorithm>
#include <utility>

#include "dispatch/core.h"

namespace jaypick {

namespace {

using internal::HealthSignal;
using internal::TaskState;
using internal::UpstreamNumber;

struct ToHealthSignal {
  HealthSignal operator()(const attempt::Succeeded&) const {
    return HealthSignal::kSucceeded;
  }
  HealthSignal operator()(const attempt::Failed&) const {
    return HealthSignal::kFailed;
  }
  HealthSignal operator()(const attempt::Refused& refused) const {
    switch (refused.cause) {
      case attempt::RefusalCause::kLeaving:
        return HealthSignal::kLeaving;
      case attempt::RefusalCause::kDeadline:
        // No time was left before the job's deadline, which does not indicate
        // an unhealthy upstream.
        return HealthSignal::kAbandoned;
      case attempt::RefusalCause::kBusy:
        break;
    }
    return HealthSignal::kBusy;
  }
  HealthSignal operator()(const attempt::NotSent&) const {
    return HealthSignal::kNotSent;
  }
  HealthSignal operator()(const attempt::Lost&) const {
    return HealthSignal::kFailed;
  }
};

bool MayHaveRun(const AttemptOutcome& outcome) {
  return !std::holds_alternative<attempt::Refused>(outcome) &&
         !std::holds_alternative<attempt::NotSent>(outcome);
}

}  // namespace

void Dispatcher::Core::On(const AttemptEnded& message) {
  Task* const task = FindRunningTask(message);
  if (task == nullptr) {
    observer_.OnStaleResponse(message.attempt);
    return;
  }
  EndAttempt(*task, message.outcome, message.reported_load);
}

void Dispatcher::Core::On(const Tick&) {}

void Dispatcher::Core::RunTimers() {
  while (const auto timer = timers_.PopDue(now_)) {
    std::visit([this](const auto& due) { OnTimer(due); }, *timer);
  }
  jobs_.Expire(now_);
}

void Dispatcher::Core::OnTimer(const internal::JobDeadline& timer) {
  Job* const job = jobs_.Find(timer.counter);
  if (job != nullptr) {
    FailIfOverdue(*job);
  }
}

void Dispatcher::Core::FailIfOverdue(Job& job) {
  const bool is_overdue = !job.has_ended && now_ >= job.deadline;
  if (is_overdue && !HasMutant(internal::Mutant::kIgnoreDeadline)) {
    FailJob(job, RefusalReason::kDeadlineExceeded,
            "the deadline passed before all tasks had ended");
  }
}

void Dispatcher::Core::OnTimer(const internal::AttemptTimeout& timer) {
  Job* const job = jobs_.Find(timer.counter);
  if (job == nullptr) {
    return;
  }
  Task& task = job->tasks[timer.task];
  const bool is_running =
      task.state == TaskState::kRunning && task.attempts == timer.attempt + 1;
  if (!is_running) {
    return;
  }
  // After a pause of the process both the deadline and the attempt timeout may
  // be due. The deadline is handled first, so that no task of an expired job is
  // retried.
  FailIfOverdue(*job);
  actions_->push_back(AbandonAttempt{.attempt = {.job = IdOf(timer.counter),
                                                 .task = timer.task,
                                                 .attempt = timer.attempt},
                                     .upstream = pool_.name(task.upstream)});
  // The elapsed time is a lower bound of the task's run time. Without this
  // sample, a kind whose declared run time is far too short would time out on
  // every attempt and its estimate would never be corrected.
  catalogue_.Record(job->kind, now_ - task.started);
  EndAttempt(task, attempt::Lost{.cause = "no response within the timeout"},
             std::nullopt);
}

internal::Task* Dispatcher::Core::FindRunningTask(const AttemptEnded& message) {
  const AttemptId& id = message.attempt;
  const bool is_own_id = id.job.incarnation == options_.incarnation &&
                         id.job.entry == options_.entry;
  Job* const job = is_own_id ? jobs_.Find(id.job.counter) : nullptr;
  if (job == nullptr || id.task >= job->tasks.size()) {
    return nullptr;
  }
  Task& task = job->tasks[id.task];
  const bool is_current = (task.attempts == id.attempt + 1 &&
                           pool_.name(task.upstream) == message.upstream) ||
                          HasMutant(internal::Mutant::kAcceptStaleResponse);
  const bool is_running = task.state == TaskState::kRunning && is_current;
  return is_running ? &task : nullptr;
}

void Dispatcher::Core::EndAttempt(Task& task,
                                  const AttemptOutcome& outcome,
                                  std::optional<std::uint32_t> reported_load) {
  Job& job = *task.job;
  observer_.OnAttemptEnded(job.owner_name, catalogue_.entry(job.kind).kind.name,
                           pool_.name(task.upstream), outcome);
  pool_.OnAttemptEnded(task.upstream, HealthSignalOf(task, outcome),
                       reported_load, task.started, now_);
  --job.running;
  --running_;
  if (!MayHaveRun(outcome)) {
    --job.starts;
  }
  task.state = TaskState::kDone;
  if (job.has_ended) {
    return;
  }
  std::visit([&](const auto& value) { OnOutcome(task, value); }, outcome);
}

// An attempt that was abandoned because its job ended does not indicate an
// unhealthy upstream, unless it had already run longer than p99 of its kind.
internal::HealthSignal Dispatcher::Core::HealthSignalOf(
    const Task& task,
    const AttemptOutcome& outcome) const {
  const Job& job = *task.job;
  const bool is_within_p99 =
      now_ - task.started < catalogue_.entry(job.kind).run_time.p99();
  const bool is_abandoned = job.has_ended && is_within_p99 &&
                            std::holds_alternative<attempt::Lost>(outcome);
  return is_abandoned ? HealthSignal::kAbandoned
                      : std::visit(ToHealthSignal(), outcome);
}

void Dispatcher::Core::OnOutcome(Task& task,
                                 const attempt::Succeeded& outcome) {
  Job& job = *task.job;
  job.results[task.index] = outcome.result;
  catalogue_.Record(job.kind, now_ - task.started);
  --job.unfinished;
  --unfinished_tasks_;
  const bool is_partial =
      job.unfinished == 1 && HasMutant(internal::Mutant::kPartialAnswer);
  if (job.unfinished == 0 || is_partial) {
    CompleteJob(job);
  }
}

void Dispatcher::Core::OnOutcome(Task& task, const attempt::Failed& outcome) {
  FailJob(*task.job, RefusalReason::kTaskFailed,
          "task " + std::to_string(task.index) + " failed: " + outcome.message);
}

void Dispatcher::Core::OnOutcome(Task& task, const attempt::Refused& outcome) {
  if (outcome.cause == attempt::RefusalCause::kDeadline) {
    FailJob(*task.job, RefusalReason::kDeadlineExceeded,
            "the upstream had no time left before the deadline for task " +
                std::to_string(task.index));
    return;
  }
  RetryWithinBudget(task);
}

void Dispatcher::Core::OnOutcome(Task& task, const attempt::NotSent&) {
  RetryWithinBudget(task);
}

void Dispatcher::Core::OnOutcome(Task& task, const attempt::Lost& outcome) {
  Job& job = *task.job;
  ++job.lost_attempts;
  ++task.lost_attempts;
  const bool may_run_again =
      job.is_idempotent || HasMutant(internal::Mutant::kRetryAnyKind);
  const bool may_retry =
      may_run_again && task.lost_attempts < options_.retry.max_attempts;
  if (may_retry && TakeRetryToken()) {
    Requeue(task);
    return;
  }
  FailJob(
      job, RefusalReason::kTaskOutcomeUnknown,
      "task " + std::to_string(task.index) +
          " was sent, but no valid response was received: " + outcome.cause);
}

bool Dispatcher::Core::TakeRetryToken() {
  return retry_budget_.TryTake() ||
         HasMutant(internal::Mutant::kUnlimitedRetries);
}

void Dispatcher::Core::RetryWithinBudget(Task& task) {
  if (TakeRetryToken()) {
    Requeue(task);
    return;
  }
  task.state = TaskState::kAwaitingBudget;
  budget_waits_.push_back({.counter = task.job->counter, .task = task.index});
}

void Dispatcher::Core::ReleaseBudgetWaits() {
  while (!budget_waits_.empty()) {
    const BudgetWait wait = budget_waits_.front();
    Job* const job = jobs_.Find(wait.counter);
    const bool is_waiting = job != nullptr && job->tasks[wait.task].state ==
                                                  TaskState::kAwaitingBudget;
    if (!is_waiting) {
      budget_waits_.pop_front();
      continue;
    }
    if (!TakeRetryToken() && !retry_floor_.TryTake(now_)) {
      return;
    }
    budget_waits_.pop_front();
    Requeue(job->tasks[wait.task]);
  }
}

void Dispatcher::Core::Requeue(Task& task) {
  task.state = TaskState::kQueued;
  QueueOf(task.job->service).PushFront(task, next_sequence_++);
}

void Dispatcher::Core::StartQueuedTasks() {
  ReleaseBudgetWaits();
  for (internal::FairQueue& queue : queues_) {
    StartQueuedTasksOf(queue);
  }
}

void Dispatcher::Core::StartQueuedTasksOf(internal::FairQueue& queue) {
  // Starting tasks only reduces the free capacity, so a kind that could not be
  // placed once is not tried again in this call.
  std::vector<internal::KindNumber> unplaceable;
  std::optional<UpstreamNumber> chosen;
  const auto placeable = [&](internal::KindNumber kind) {
    if (std::ranges::find(unplaceable, kind) != unplaceable.end()) {
      return false;
    }
    internal::PlacementRequest request = RequestFor(kind);
    request.waiting = queue.size();
    chosen = pool_.Choose(request, now_);
    if (!chosen) {
      unplaceable.push_back(kind);
    }
    return chosen.has_value();
  };
  while (!queue.is_empty()) {
    internal::QueuedTask* const queued = queue.Pop(placeable, task_cost_);
    if (queued == nullptr) {
      return;
    }
    Start(static_cast<Task&>(*queued), *chosen);
  }
}

void Dispatcher::Core::Start(Task& task, UpstreamNumber upstream) {
  Job& job = *task.job;
  CheckStart(task, upstream);
  const AttemptId id{
      .job = IdOf(job.counter), .task = task.index, .attempt = task.attempts};
  if (task.attempts == 0) {
    retry_budget_.OnFirstAttempt();
  }
  task.state = TaskState::kRunning;
  task.upstream = upstream;
  task.started = now_;
  ++task.attempts;
  ++job.running;
  ++job.starts;
  ++running_;
  timers_.Add(
      AttemptTimeoutAt(job),
      internal::AttemptTimeout{
          .counter = job.counter, .task = task.index, .attempt = id.attempt});
  const Kind& kind = catalogue_.entry(job.kind).kind;
  observer_.OnStarted(job.owner_name, kind.name, pool_.name(upstream),
                      id.attempt);
  actions_->push_back(StartAttempt{.attempt = id,
                                   .upstream = pool_.name(upstream),
                                   .address = pool_.address(upstream),
                                   .service = kind.service,
                                   .kind = kind.name,
                                   .payload = job.payloads[task.index],
                                   .remaining = job.deadline - now_});
}

void Dispatcher::Core::CheckStart(const Task& task, UpstreamNumber upstream) {
  const Job& job = *task.job;
  CheckInvariant(task.state == TaskState::kQueued && !job.has_ended,
                 "an attempt starts from the queue", job);
  CheckInvariant(job.is_idempotent || task.lost_attempts == 0,
                 "a non-idempotent task runs at most once", job);
  CheckInvariant(now_ < job.deadline, "nothing starts past its deadline", job);
  CheckInvariant(!pool_.is_leaving(upstream),
                 "a leaving upstream gets no new start", job);
  CheckInvariant(pool_.in_flight(upstream) <= pool_.in_flight_limit(upstream),
                 "in-flight attempts stay within the limit", job);
}

internal::PlacementRequest Dispatcher::Core::RequestFor(
    internal::KindNumber kind) const {
  const internal::KindEntry& entry = catalogue_.entry(kind);
  return {.service = entry.service,
          .needs = entry.kind.needs,
          .run_time = entry.run_time.mean(),
          .is_idempotent = entry.kind.idempotent};
}

TimePoint Dispatcher::Core::AttemptTimeoutAt(const Job& job) const {
  // A task that is not idempotent gets a longer timeout: it cannot be retried,
  // so a timeout fails the job, while a late response still completes it.
  const Duration min_timeout = job.is_idempotent
                                   ? options_.min_attempt_timeout
                                   : options_.min_single_attempt_timeout;
  const Duration timeout = std::max(min_timeout, AttemptTimeoutOf(job.kind));
  // No caller waits past the deadline, so the attempt ends there and its slot
  // becomes free.
  return std::min(now_ + timeout, job.deadline);
}

Duration Dispatcher::Core::AttemptTimeoutOf(internal::KindNumber kind) const {
  const double timeout =
      options_.attempt_timeout_factor *
      static_cast<double>(catalogue_.entry(kind).run_time.p99().count());
  return Duration(static_cast<Duration::rep>(timeout));
}

}  // namespace jaypick
