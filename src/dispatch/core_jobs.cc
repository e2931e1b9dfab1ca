// Jobs from their admission to their answer.
#include <algorithm>
#include <utility>

#include "dispatch/core.h"

namespace jaypick {

void Dispatcher::Core::Admit(Submission submission,
                             std::uint64_t counter,
                             internal::KindNumber kind_number) {
  JobRequest& request = submission.request;
  const internal::KindEntry& entry = catalogue_.entry(kind_number);
  internal::JobPointer job(new Job);
  job->counter = counter;
  job->owner_name = request.owner;
  job->owner = catalogue_.InternOwner(request.owner);
  job->service = entry.service;
  job->kind = kind_number;
  job->is_idempotent = entry.kind.idempotent;
  job->digest = internal::DigestOf(request);
  job->arrival = submission.arrival;
  job->deadline =
      submission.arrival + request.timeout.value_or(entry.kind.default_timeout);
  job->bytes = internal::PayloadBytes(request);
  job->payloads = std::move(request.tasks);
  job->results.resize(job->payloads.size());
  job->tasks = std::vector<Task>(job->payloads.size());
  job->unfinished = job->tasks.size();
  const bool was_reserved = ids_.Activate(counter);
  CheckInvariant(was_reserved, "a job starts from a reserved id", *job);
  if (!HasMutant(internal::Mutant::kIgnoreDeadline)) {
    timers_.Add(job->deadline, internal::JobDeadline{counter});
  }
  internal::FairQueue& queue = QueueOf(job->service);
  std::uint32_t index = 0;
  for (Task& task : job->tasks) {
    task.job = job.get();
    task.index = index++;
    task.owner = job->owner;
    task.kind = job->kind;
    queue.Push(task, next_sequence_++);
  }
  unfinished_tasks_ += job->unfinished;
  observer_.OnAdmitted(job->owner_name, entry.kind.name, job->unfinished);
  Job& admitted = *job;
  jobs_.Add(std::move(job));
  if (request.wait) {
    AddWaiter(admitted, submission.call, request.reserve);
    return;
  }
  AnswerJob(admitted, submission.call, request.reserve);
}

void Dispatcher::Core::AddWaiter(Job& job, CallId call, std::uint32_t reserve) {
  const auto it = calls_.find(call.value);
  if (it == calls_.end()) {
    // The caller closed its connection while the key claim was pending.
    return;
  }
  it->second = job.counter;
  if (!job.waiters.empty() && HasMutant(internal::Mutant::kOneWaiter)) {
    return;
  }
  job.waiters.push_back({.call = call, .reserve = reserve});
}

void Dispatcher::Core::CompleteJob(Job& job) {
  CheckInvariant(job.unfinished == 0 && job.running == 0 && !job.has_ended,
                 "a complete answer has all results", job);
  const bool was_active = ids_.Complete(job.counter);
  CheckInvariant(was_active, "a job has one answer", job);
  observer_.OnCompleted(job.owner_name, catalogue_.entry(job.kind).kind.name,
                        now_ - job.arrival);
  EndJob(job);
}

void Dispatcher::Core::FailJob(Job& job,
                               RefusalReason reason,
                               std::string message) {
  DropTasks(job);
  const RunState run = RunStateOf(job);
  CheckInvariant(run != RunState::kNotRun || job.starts == 0,
                 "a not_run refusal has no start", job);
  job.refusal = Refusal{.id = IdOf(job.counter),
                        .run = run,
                        .reason = reason,
                        .message = std::move(message)};
  const bool was_active = ids_.Close(job.counter, run, reason);
  CheckInvariant(was_active, "a job has one answer", job);
  observer_.OnRefused(job.owner_name, catalogue_.entry(job.kind).kind.name,
                      *job.refusal);
  EndJob(job);
}

RunState Dispatcher::Core::RunStateOf(const Job& job) const {
  if (HasMutant(internal::Mutant::kAlwaysNotRun)) {
    return RunState::kNotRun;
  }
  if (job.running > 0 || job.lost_attempts > 0) {
    return HasMutant(internal::Mutant::kUnknownIsFailed) ? RunState::kFailed
                                                         : RunState::kUnknown;
  }
  return job.starts > 0 ? RunState::kFailed : RunState::kNotRun;
}

void Dispatcher::Core::DropTasks(Job& job) {
  internal::FairQueue& queue = QueueOf(job.service);
  for (Task& task : job.tasks) {
    if (task.state == internal::TaskState::kQueued) {
      queue.Remove(task);
    }
    if (task.state != internal::TaskState::kRunning &&
        task.state != internal::TaskState::kDone) {
      task.state = internal::TaskState::kDropped;
    }
  }
}

void Dispatcher::Core::EndJob(Job& job) {
  job.has_ended = true;
  unfinished_tasks_ -= job.unfinished;
  const std::vector<internal::Waiter> waiters = std::move(job.waiters);
  job.waiters.clear();
  for (const internal::Waiter& waiter : waiters) {
    AnswerJob(job, waiter.call, waiter.reserve);
  }
  jobs_.OnEnded(job, now_);
}

void Dispatcher::Core::AnswerJob(Job& job, CallId call, std::uint32_t reserve) {
  const JobId id = IdOf(job.counter);
  std::vector<JobId> next_ids = IssueIds(job.owner, reserve);
  if (!job.has_ended) {
    Answer(call, RunningAnswer{.id = id, .next_ids = std::move(next_ids)});
    return;
  }
  if (job.refusal) {
    Refusal refusal = *job.refusal;
    refusal.next_ids = std::move(next_ids);
    Answer(call, std::move(refusal));
    return;
  }
  Answer(call, CompleteAnswer{.id = id,
                              .results = job.results,
                              .next_ids = std::move(next_ids)});
}

void Dispatcher::Core::CloseId(CallId call,
                               std::uint64_t counter,
                               const JobRequest& request,
                               Refusal refusal) {
  // A closed id is never used to start tasks. A delayed duplicate of this
  // submission gets the same refusal, so `not_run` stays true.
  ids_.Close(counter, refusal.run, refusal.reason);
  refusal.id = IdOf(counter);
  refusal.next_ids = IssueIds(ids_.Find(counter)->owner, request.reserve);
  observer_.OnRefused(request.owner, request.kind, refusal);
  Answer(call, std::move(refusal));
}

std::vector<JobId> Dispatcher::Core::IssueIds(internal::OwnerNumber owner,
                                              std::uint32_t count) {
  std::vector<JobId> ids;
  if (is_draining()) {
    return ids;
  }
  // Resubmissions skip the checks of a first submission, so the limit is also
  // applied here.
  count = std::min(count, options_.reserve_limit);
  ids.reserve(count);
  while (ids.size() < count) {
    const auto counter = ids_.Issue(owner);
    if (!counter) {
      break;
    }
    ids.push_back(IdOf(*counter));
  }
  return ids;
}

JobId Dispatcher::Core::IdOf(std::uint64_t counter) const {
  return {.entry = options_.entry,
          .incarnation = options_.incarnation,
          .counter = counter};
}

void Dispatcher::Core::Answer(CallId call, CallAnswer answer) {
  const bool was_open = calls_.erase(call.value) > 0;
  if (!was_open && !HasMutant(internal::Mutant::kAnswerClosedCalls)) {
    // The caller closed its connection, or the call was already answered.
    return;
  }
  actions_->push_back(AnswerCall{.call = call, .answer = std::move(answer)});
}

void Dispatcher::Core::Refuse(CallId call, Refusal refusal) {
  observer_.OnRefused("", "", refusal);
  Answer(call, std::move(refusal));
}

}  // namespace jaypick
