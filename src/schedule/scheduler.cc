#include "schedule/scheduler.h"

#include <algorithm>
#include <utility>

#include "schedule/job_memory.h"

namespace jaypick::schedule {
namespace {

// Number of trace entries kept for one job; later ones are dropped.
constexpr std::size_t kMaxTraceEntries = 48;
// A task that needs more than this many times the typical processors finds no
// upstream with enough free capacity while typical tasks fill each gap, so an
// upstream is reserved for it.
constexpr double kLargeTaskFactor = 1.15;
// Time for which a reservation is kept before the upstream is chosen again;
// short compared with the runs that a large task waits for.
constexpr Duration kReservationTime = std::chrono::milliseconds(10);
// Failure rate of a kind above which its failures do not count against
// upstreams.
constexpr double kFailingKindThreshold = 0.5;
// Weight of the newest run in the failure rate of its kind.
constexpr double kFailureRateWeight = 0.1;

}  // namespace

// Returns what the end of a run indicates about its upstream. A failure does
// not count against the upstream if the task has failed before or if many runs
// of its kind fail, as the job is then more likely at fault.
HealthSignal Scheduler::HealthOf(const Job& job,
                                 const Task& task,
                                 RunOutcome outcome) {
  const bool has_failed =
      outcome == RunOutcome::kFailed || outcome == RunOutcome::kUnhealthy;
  if (!has_failed && outcome != RunOutcome::kSucceeded) {
    return HealthSignal::kNeutral;
  }
  double& failure_rate = failure_rates_[job.spec.kind.name];
  failure_rate += kFailureRateWeight * ((has_failed ? 1 : 0) - failure_rate);
  if (!has_failed) {
    return HealthSignal::kSucceeded;
  }
  const bool is_fault_of_job =
      outcome == RunOutcome::kFailed &&
      (task.failures > 0 || failure_rate > kFailingKindThreshold);
  return is_fault_of_job ? HealthSignal::kNeutral : HealthSignal::kFailed;
}

Scheduler::Scheduler(SchedulerOptions options)
    : options_(std::move(options)), evacuation_(options_.evacuation) {
  if (!options_.crash_history) {
    options_.crash_history = CrashHistoryPointer(new CrashHistory);
  }
  for (MemoryBudgetPointer* const budget :
       {&options_.job_memory, &options_.run_memory}) {
    if (!*budget) {
      *budget = MemoryBudgetPointer(new MemoryBudget);
    }
  }
}

Scheduler::~Scheduler() {
  queue_.clear();
}

void Scheduler::Advance(TimePoint now, Actions& actions) {
  CheckDeadlines(now, actions);
  ApplyEvacuation(now, actions);
  if (now >= next_straggler_check_) {
    next_straggler_check_ = now + options_.straggler_check_interval;
    CheckStragglers(now, actions);
    is_shed_due_ = true;
  }
  if (is_shed_due_ && now >= next_shed_) {
    Shed(now, actions);
  }
  StartWaitingTasks(now, actions);
}

std::optional<TimePoint> Scheduler::next_wakeup(TimePoint now) const {
  if (jobs_.empty()) {
    return std::nullopt;
  }
  TimePoint next = std::max(next_straggler_check_, now);
  if (const auto grace_end = evacuation_.grace_end();
      grace_end && *grace_end > now) {
    next = std::min(next, *grace_end);
  }
  if (is_shed_due_) {
    next = std::min(next, std::max(next_shed_, now));
  }
  for (const auto& [id, job] : jobs_) {
    if (!job->has_ended) {
      next = std::min(next, job->deadline);
    } else if (job->resubmission != nullptr) {
      next = std::min(next, job->resubmission->deadline);
    }
  }
  return next;
}

std::vector<ActiveJob> Scheduler::ActiveJobs() const {
  std::vector<ActiveJob> active;
  for (const auto& [id, job] : jobs_) {
    active.push_back(*FindActive(id));
  }
  return active;
}

std::optional<ActiveJob> Scheduler::FindActive(const std::string& job) const {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) {
    return std::nullopt;
  }
  const Job& last = it->second->resubmission != nullptr
                        ? *it->second->resubmission
                        : *it->second;
  return ActiveJob{.job = job,
                   .entry_domain = last.spec.entry_domain,
                   .latest_start = last.has_ended
                                       ? std::nullopt
                                       : std::optional(last.deadline)};
}

void Scheduler::CheckDeadlines(TimePoint now, Actions& actions) {
  std::vector<JobPointer> due;
  for (const auto& [id, job] : jobs_) {
    if (!job->has_ended && now >= job->deadline) {
      due.push_back(job);
    } else if (job->resubmission != nullptr &&
               now >= job->resubmission->deadline) {
      EndResubmission(now, *job, RefusalReason::kDeadline, actions);
    }
  }
  for (const JobPointer& job : due) {
    Fail(now, *job, RefusalReason::kDeadline, actions);
  }
}

PlacementQuery Scheduler::QueryFor(const Job& job, std::size_t step) const {
  const Step& spec = job.spec.steps[step];
  return {.service = job.spec.kind.service,
          .needs = spec.needs,
          .required_label = spec.required_label,
          .preferred_rack = spec.preferred_rack,
          .placed = &job.steps[step].placed,
          .tasks_per_upstream = spec.tasks_per_upstream};
}

void Scheduler::SetEvacuated(TimePoint now,
                             bool is_evacuated,
                             Actions& actions) {
  if (is_evacuated) {
    evacuation_.Begin(now);
    ApplyEvacuation(now, actions);
  } else if (evacuation_.is_in_progress()) {
    evacuation_.End();
    fleet_.EnableSlowStart();
  }
}

void Scheduler::ApplyEvacuation(TimePoint now, Actions& actions) {
  if (!evacuation_.is_in_progress()) {
    return;
  }
  std::vector<JobPointer> ended;
  for (Job& job : queue_) {
    if (evacuation_.Assess(now, job.starts) != EvacuationVerdict::kMayStart) {
      ended.emplace_back(&job);
    }
  }
  for (const JobPointer& job : ended) {
    Fail(now, *job, RefusalReason::kEvacuated, actions);
  }
}

void Scheduler::StartWaitingTasks(TimePoint now, Actions& actions) {
  if (now >= start_limit_ || evacuation_.PreventsAllStarts(now)) {
    return;
  }
  has_unattended_jobs_ = false;
  // Processor need of the smallest task that could not be placed, by service.
  // Starts only reduce free capacity, so tasks that need as much are not tried
  // again.
  std::map<std::string, std::uint32_t, std::less<>> blocked;
  std::optional<std::uint32_t> reserved_upstream;
  for (auto it = queue_.begin(); it != queue_.end();) {
    Job& job = *it++;
    const auto blocked_need = blocked.find(job.spec.kind.service);
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
      StepState& state = job.steps[step];
      const Step& spec = job.spec.steps[step];
      if (state.waiting == 0 ||
          (blocked_need != blocked.end() &&
           spec.needs.milli_cpus >= blocked_need->second)) {
        continue;
      }
      PlacementQuery query = QueryFor(job, step);
      query.reserved_upstream = reserved_upstream;
      for (std::uint32_t index = 0; index < spec.tasks; ++index) {
        Task& task = state.tasks[index];
        if (task.state != TaskState::kWaiting) {
          continue;
        }
        query.avoided_upstreams = &task.avoided_upstreams;
        query.is_retry = task.failures > 0;
        query.is_suspected = task.is_suspected;
        auto memory = options_.run_memory->Reserve(RunBytes(job.spec));
        if (!memory) {
          break;
        }
        const auto upstream = fleet_.Choose(query, now);
        if (upstream && !IsAttended(now, job)) {
          has_unattended_jobs_ = true;
          break;
        }
        if (upstream) {
          Start(now, job, static_cast<std::uint32_t>(step), index, *upstream,
                *std::move(memory), actions);
          continue;
        }
        const bool is_unconstrained = spec.required_label.empty() &&
                                      spec.tasks_per_upstream == 0 &&
                                      task.avoided_upstreams.empty();
        if (!is_unconstrained) {
          continue;
        }
        auto& smallest =
            blocked.emplace(job.spec.kind.service, spec.needs.milli_cpus)
                .first->second;
        smallest = std::min(smallest, spec.needs.milli_cpus);
        if (!reserved_upstream &&
            spec.needs.milli_cpus > kLargeTaskFactor * typical_milli_cpus_) {
          reserved_upstream = ReservedUpstreamFor(now, job);
        }
        break;
      }
    }
  }
}

bool Scheduler::IsAttended(TimePoint now, const Job& job) const {
  return !options_.attended_at || now - options_.attended_at(job.spec.id) <=
                                      options_.longest_unattended_start;
}

std::optional<std::uint32_t> Scheduler::ReservedUpstreamFor(TimePoint now,
                                                            const Job& job) {
  if (reservation_.job != job.spec.id || now >= reservation_.until) {
    reservation_ = {.job = job.spec.id,
                    .upstream = ChooseReservedUpstream(now, job),
                    .until = now + kReservationTime};
  }
  return reservation_.upstream;
}

std::optional<std::uint32_t> Scheduler::ChooseReservedUpstream(
    TimePoint now,
    const Job& job) const {
  const auto waits = [](const StepState& step) { return step.waiting > 0; };
  const auto step = static_cast<std::size_t>(
      std::ranges::find_if(job.steps, waits) - job.steps.begin());
  if (step == job.steps.size()) {
    return std::nullopt;
  }
  const Resources& needs = job.spec.steps[step].needs;
  std::map<std::uint32_t, std::vector<std::pair<TimePoint, std::uint32_t>>>
      ends;
  for (const auto& [id, run] : running_) {
    const Step& spec = run.job->spec.steps[run.step];
    ends[run.upstream].emplace_back(ExpectedEnd(now, run),
                                    spec.needs.milli_cpus);
  }
  std::optional<std::uint32_t> best;
  TimePoint earliest = TimePoint::max();
  for (auto& [number, runs] : ends) {
    const Upstream& upstream = fleet_.upstream(number);
    if (upstream.service != job.spec.kind.service ||
        fleet_.SlotsOf(number, needs, now) == 0) {
      continue;
    }
    std::ranges::sort(runs);
    std::uint32_t used = 0;
    for (const auto& [end_time, milli_cpus] : runs) {
      used += milli_cpus;
    }
    for (const auto& [end_time, milli_cpus] : runs) {
      used -= milli_cpus;
      if (upstream.capacity.milli_cpus >= used + needs.milli_cpus) {
        if (end_time < earliest) {
          earliest = end_time;
          best = number;
        }
        break;
      }
    }
  }
  return best;
}

void Scheduler::Start(TimePoint now,
                      Job& job,
                      std::uint32_t step,
                      std::uint32_t index,
                      std::uint32_t upstream,
                      MemoryBudget::Reservation memory,
                      Actions& actions) {
  Task& task = job.steps[step].tasks[index];
  CheckInvariant(task.state == TaskState::kWaiting,
                 "a run starts from the queue", job);
  CheckInvariant(!job.has_ended && now < job.deadline,
                 "nothing starts for a job that is over", job);
  CheckInvariant(!fleet_.upstream(upstream).is_draining,
                 "a draining upstream gets no new run", job);
  const Resources& needs = job.spec.steps[step].needs;
  fleet_.Occupy(upstream, needs, now);
  if (task.is_suspected) {
    fleet_.SetIsolated(upstream, true);
  }
  task.state = TaskState::kRunning;
  task.started = now;
  task.upstream = upstream;
  task.is_stopping = false;
  task.is_overdue = false;
  task.is_run_time_valid = true;
  ++task.runs;
  ++job.running;
  ++job.starts;
  --job.waiting;
  --waiting_;
  --job.steps[step].waiting;
  ++job.steps[step].placed[upstream];
  const RunId run{
      .job = job.spec.id, .step = step, .index = index, .run = task.runs};
  running_[run] = {.job = &job,
                   .step = step,
                   .index = index,
                   .upstream = upstream,
                   .upstream_started_unix_ms = fleet_.incarnation(upstream),
                   .is_isolating = task.is_suspected,
                   .memory = std::move(memory)};
  if (job.waiting == 0) {
    job.unlink();
  }
  Trace(now, job, "start",
        std::to_string(step) + "." + std::to_string(index) + "#" +
            std::to_string(task.runs) + "@" + fleet_.upstream(upstream).id);
  actions.push_back(
      StartTask{.run = run, .upstream = upstream, .payload = job.spec.payload});
}

void Scheduler::Stop(Job& job,
                     std::uint32_t step,
                     std::uint32_t index,
                     Actions& actions) {
  Task& task = job.steps[step].tasks[index];
  if (task.state != TaskState::kRunning || task.is_stopping) {
    return;
  }
  task.is_stopping = true;
  actions.push_back(StopTask{.run = {.job = job.spec.id,
                                     .step = step,
                                     .index = index,
                                     .run = task.runs},
                             .upstream = task.upstream});
}

void Scheduler::OnRunEnded(TimePoint now,
                           const RunId& run,
                           RunOutcome outcome,
                           Actions& actions) {
  const auto it = running_.find(run);
  if (it == running_.end()) {
    return;
  }
  const Running running = std::move(it->second);
  running_.erase(it);
  Job& job = *running.job;
  StepState& step = job.steps[running.step];
  Task& task = step.tasks[running.index];
  const Resources& needs = job.spec.steps[running.step].needs;
  fleet_.Release(running.upstream, needs, HealthOf(job, task, outcome), now);
  if (running.is_isolating) {
    fleet_.SetIsolated(running.upstream, false);
  }
  if (outcome == RunOutcome::kNoRoom) {
    fleet_.OnRoomRefused(running.upstream, now);
  }
  --job.running;
  if (!DidStart(outcome)) {
    --job.starts;
    --step.placed[running.upstream];
  }
  const Duration took = now - task.started;
  Trace(now, job, ToString(outcome),
        std::to_string(running.step) + "." + std::to_string(running.index) +
            "#" + std::to_string(run.run) + "@" +
            fleet_.upstream(running.upstream).id);
  if (IsUpstreamLoss(outcome)) {
    RecordLoss(now, job, running, outcome);
  }
  if (outcome == RunOutcome::kSucceeded) {
    task.state = TaskState::kSucceeded;
  }
  if (outcome == RunOutcome::kSucceeded && task.is_run_time_valid) {
    const Duration on_usual_upstream(
        static_cast<Duration::rep>(static_cast<double>(took.count()) /
                                   fleet_.RelativeRunTime(running.upstream)));
    step.longest_run = std::max(step.longest_run, on_usual_upstream);
    const Step& spec = job.spec.steps[running.step];
    model_.Record(job.spec.kind.name, spec.declared_run_time, took);
    if (step.is_learned) {
      fleet_.RecordRunTime(running.upstream, step.predicted, took);
    }
  }
  if (job.has_ended) {
    // The run may continue until the new leader stops it.
    if (outcome == RunOutcome::kTakenOver && job.resubmission != nullptr) {
      EndResubmission(now, job, RefusalReason::kCommandLost, actions);
    }
    if (job.running == 0) {
      Remove(now, job, actions);
    }
    return;
  }
  if (outcome != RunOutcome::kSucceeded) {
    Retry(now, job, running.step, running.index, outcome, actions);
    return;
  }
  --step.unfinished;
  if (--job.unfinished == 0) {
    EndJob(now, job, Completed{}, actions);
    return;
  }
  if (step.unfinished == 0) {
    Unblock(job);
  }
}

void Scheduler::Unblock(Job& job) {
  for (std::size_t number = 0; number < job.steps.size(); ++number) {
    StepState& step = job.steps[number];
    const auto& after = job.spec.steps[number].after;
    const bool is_ready = std::ranges::all_of(after, [&](std::uint32_t before) {
      return job.steps[before].unfinished == 0;
    });
    if (!is_ready || step.tasks.front().state != TaskState::kBlocked) {
      continue;
    }
    for (Task& task : step.tasks) {
      task.state = TaskState::kWaiting;
    }
    step.waiting = static_cast<std::uint32_t>(step.tasks.size());
    job.waiting += step.waiting;
    waiting_ += step.waiting;
  }
  if (job.waiting > 0 && !job.is_linked()) {
    Enqueue(job);
  }
}

void Scheduler::Abandon(TimePoint now,
                        const std::string& id,
                        Actions& actions) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return;
  }
  const JobPointer job = it->second;
  if (job->has_ended) {
    job->resubmission.reset();
    return;
  }
  Fail(now, *job, RefusalReason::kAbandoned, actions);
}

void Scheduler::OnUpstreamResponse(const UpstreamIncarnation& upstream) {
  if (const auto number = fleet_.Find(upstream.id)) {
    fleet_.SetIncarnation(*number, upstream.started_unix_ms);
  }
  options_.crash_history->OnResponse(upstream);
}

void Scheduler::OnPause() {
  for (const auto& [id, run] : running_) {
    run.job->steps[run.step].tasks[run.index].is_run_time_valid = false;
  }
}

void Scheduler::EndAllJobs(TimePoint now,
                           RefusalReason reason,
                           Actions& actions) {
  std::vector<JobPointer> all;
  for (const auto& [id, job] : jobs_) {
    all.push_back(job);
  }
  for (const JobPointer& job : all) {
    if (!job->has_ended) {
      Fail(now, *job, reason, actions);
    } else if (job->resubmission != nullptr) {
      EndResubmission(now, *job, reason, actions);
    }
  }
  for (const auto& [id, run] : std::exchange(running_, {})) {
    const Resources& needs = run.job->spec.steps[run.step].needs;
    fleet_.Release(run.upstream, needs, HealthSignal::kNeutral, now);
    fleet_.SetIsolated(run.upstream, false);
  }
  jobs_.clear();
}

void Scheduler::Fail(TimePoint now,
                     Job& job,
                     RefusalReason reason,
                     Actions& actions) {
  if (job.starts == 0) {
    EndJob(now, job,
           Refused{.reason = reason,
                   .retry_after = RetryAfter(now, job.spec.id),
                   .may_have_run = job.may_have_run},
           actions);
    return;
  }
  EndJob(now, job, Failed{.reason = reason}, actions);
}

void Scheduler::EndJob(TimePoint now,
                       Job& job,
                       JobOutcome outcome,
                       Actions& actions) {
  CheckInvariant(!job.has_ended, "a job has one answer", job);
  CheckInvariant(!std::holds_alternative<Refused>(outcome) || job.starts == 0,
                 "a refused job has no start", job);
  const JobPointer keep_alive(&job);
  job.has_ended = true;
  if (job.is_linked()) {
    job.unlink();
  }
  waiting_ -= job.waiting;
  job.waiting = 0;
  for (StepState& step : job.steps) {
    step.waiting = 0;
  }
  if (!std::holds_alternative<Completed>(outcome)) {
    if (!std::holds_alternative<Refused>(outcome) ||
        !evacuation_.is_in_progress()) {
      served_fractions_.OnRefused(job.job_class, now);
    }
    StopRuns(job, actions);
  }
  actions.push_back(JobEnded{.job = job.spec.id,
                             .outcome = outcome,
                             .trace = std::move(job.trace),
                             .response_time = now - job.arrival});
  job.trace.clear();
  if (job.running == 0) {
    jobs_.erase(job.spec.id);
  }
}

void Scheduler::StopRuns(Job& job, Actions& actions) {
  for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
    for (std::uint32_t index = 0; index < job.steps[step].tasks.size();
         ++index) {
      Stop(job, step, index, actions);
    }
  }
}

std::size_t Scheduler::runs_on(std::uint32_t upstream) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      running_,
      [&](const auto& entry) { return entry.second.upstream == upstream; }));
}

void Scheduler::Trace(TimePoint now,
                      Job& job,
                      std::string_view event,
                      std::string detail) const {
  if (job.trace.size() < kMaxTraceEntries) {
    job.trace.push_back(
        {.at = now - job.arrival, .event = event, .detail = std::move(detail)});
  }
}

void Scheduler::CheckInvariant(bool holds,
                               std::string_view invariant,
                               const Job& job) const {
  if (!holds && options_.on_violation) {
    options_.on_violation(invariant, job.spec.id);
  }
}

}  // namespace jaypick::schedule
