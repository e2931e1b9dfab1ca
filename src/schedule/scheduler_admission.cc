// Admission of jobs, load shedding and load reports.
#include <algorithm>
#include <cmath>
#include <utility>

#include "schedule/forecast.h"
#include "schedule/job_memory.h"
#include "schedule/scheduler.h"

namespace jaypick::schedule {
namespace {

constexpr double kSecond = 1'000'000;
// Weight of the newest job in the smoothed processor need of a task.
constexpr double kTypicalWeight = 0.05;
// Maximum number of jobs refused in one pass of load shedding: 8,000 a second
// at the default `shed_interval`.
constexpr int kMaxRefusalsPerShedPass = 32;
// The size of a job counts with the square root of its work relative to the
// mean of its kind: refusing one large job saves several small ones, but large
// ones must not starve.
constexpr double kSizeExponent = 0.5;
// Increase of the refusal score by one priority level.
constexpr double kPriorityWeight = 0.05;
// A run past its expected end is assumed to continue for its expected run time
// divided by this number.
constexpr int kOverdueDivisor = 5;
constexpr Duration kShortestRetry = std::chrono::milliseconds(100);
constexpr Duration kLongestRetry = std::chrono::seconds(5);

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / kSecond;
}

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

// Longest sum of predicted run times along dependent steps.
Duration LongestChain(const Job& job) {
  std::vector<Duration> chains;
  for (std::size_t step = 0; step < job.steps.size(); ++step) {
    Duration before{0};
    for (const std::uint32_t earlier : job.spec.steps[step].after) {
      before = std::max(before, chains[earlier]);
    }
    chains.push_back(before + job.steps[step].predicted);
  }
  return *std::ranges::max_element(chains);
}

// Upstreams refuse runs with a number that they have seen.
void ContinueRunNumbers(const Job& earlier, Job& next) {
  const std::size_t steps = std::min(earlier.steps.size(), next.steps.size());
  for (std::size_t step = 0; step < steps; ++step) {
    const auto& from = earlier.steps[step].tasks;
    auto& to = next.steps[step].tasks;
    for (std::size_t index = 0; index < std::min(from.size(), to.size());
         ++index) {
      to[index].runs = from[index].runs;
    }
  }
}

}  // namespace

void Scheduler::Submit(TimePoint now,
                       JobSpec spec,
                       TimePoint arrival,
                       TimePoint deadline,
                       Actions& actions) {
  const auto existing = jobs_.find(spec.id);
  const bool is_known = existing != jobs_.end();
  if (is_known && (!existing->second->has_ended ||
                   existing->second->resubmission != nullptr)) {
    return;
  }
  auto memory = options_.job_memory->Reserve(JobBytes(spec));
  if (!memory) {
    RefuseUnbuilt(now, spec, arrival, is_known, actions);
    return;
  }
  const JobPointer job =
      MakeJob(std::move(spec), *std::move(memory), arrival, deadline);
  if (is_known) {
    Defer(now, *existing->second, job, actions);
    return;
  }
  jobs_[job->spec.id] = job;
  Admit(now, *job, actions);
}

void Scheduler::RefuseUnbuilt(TimePoint now,
                              const JobSpec& spec,
                              TimePoint arrival,
                              bool may_have_run,
                              Actions& actions) const {
  const RefusalReason reason =
      options_.job_memory->CanEverReserve(JobBytes(spec))
          ? RefusalReason::kNoMemory
          : RefusalReason::kTooLarge;
  const JobOutcome outcome =
      may_have_run
          ? JobOutcome(Failed{.reason = reason})
          : Refused{.reason = reason, .retry_after = RetryAfter(now, spec.id)};
  actions.push_back(JobEnded{
      .job = spec.id, .outcome = outcome, .response_time = now - arrival});
}

void Scheduler::Defer(TimePoint now,
                      Job& earlier,
                      JobPointer next,
                      Actions& actions) {
  Trace(now, *next, "deferred",
        "runs_to_stop=" + std::to_string(earlier.running));
  earlier.resubmission = std::move(next);
  if (IsTooLong(now, *earlier.resubmission)) {
    EndResubmission(now, earlier, RefusalReason::kTooLong, actions);
  }
}

// The runs of the earlier submission may have had an effect, so the job is not
// answered as one that has not run.
void Scheduler::EndResubmission(TimePoint now,
                                Job& earlier,
                                RefusalReason reason,
                                Actions& actions) {
  const JobPointer job = std::exchange(earlier.resubmission, nullptr);
  actions.push_back(JobEnded{.job = job->spec.id,
                             .outcome = Failed{.reason = reason},
                             .trace = std::move(job->trace),
                             .response_time = now - job->arrival});
}

void Scheduler::Remove(TimePoint now, Job& job, Actions& actions) {
  const JobPointer earlier(&job);
  jobs_.erase(earlier->spec.id);
  if (earlier->resubmission == nullptr) {
    return;
  }
  const JobPointer next = std::exchange(earlier->resubmission, nullptr);
  ContinueRunNumbers(*earlier, *next);
  next->may_have_run = earlier->starts > 0 || earlier->may_have_run;
  jobs_[next->spec.id] = next;
  Admit(now, *next, actions);
}

void Scheduler::Admit(TimePoint now, Job& job, Actions& actions) {
  served_fractions_.OnOffered(job.job_class, job.work, now);
  if (const auto reason = MarkSuspects(job)) {
    Trace(now, job, "given_up", "upstreams were lost in earlier submissions");
    EndJob(now, job, Failed{.reason = *reason}, actions);
    return;
  }
  if (evacuation_.is_in_progress()) {
    Refuse(now, job, RefusalReason::kEvacuated, actions);
    return;
  }
  if (const auto reason = CheckOffered(now, job)) {
    Refuse(now, job, *reason, actions);
    return;
  }
  if (IsTooLong(now, job)) {
    Refuse(now, job, RefusalReason::kTooLong, actions);
    return;
  }
  const double milli_cpus = job.spec.steps.front().needs.milli_cpus;
  typical_milli_cpus_ +=
      typical_milli_cpus_ == 0
          ? milli_cpus
          : kTypicalWeight * (milli_cpus - typical_milli_cpus_);
  typical_memory_mb_ = job.spec.steps.front().needs.memory_mb;
  Trace(now, job, "admit",
        "predicted_ms=" + std::to_string(ToMilliseconds(job.predicted)) +
            " queued=" + std::to_string(waiting_));
  Unblock(job);
  StartWaitingTasks(now, actions);
  is_shed_due_ = true;
  if (now >= next_shed_) {
    Shed(now, actions);
  }
}

JobPointer Scheduler::MakeJob(JobSpec spec,
                              MemoryBudget::Reservation memory,
                              TimePoint arrival,
                              TimePoint deadline) const {
  JobPointer job(new Job);
  job->memory = std::move(memory);
  job->arrival = arrival;
  job->deadline = deadline;
  for (const Step& step : spec.steps) {
    StepState state;
    state.tasks.resize(step.tasks);
    state.unfinished = step.tasks;
    state.predicted = model_.Predict(spec.kind.name, step.declared_run_time);
    state.is_learned = model_.is_learned(spec.kind.name);
    job->unfinished += step.tasks;
    job->work += step.tasks * Seconds(state.predicted) *
                 static_cast<double>(step.needs.milli_cpus) / 1000;
    job->steps.push_back(std::move(state));
  }
  job->spec = std::move(spec);
  job->predicted = LongestChain(*job);
  const KindPolicy& kind = job->spec.kind;
  job->objective =
      arrival + Scale(job->predicted, kind.stretch) + kind.target_latency;
  job->latest_start = std::min(job->objective, deadline) - job->predicted;
  job->job_class = served_fractions_.ClassOf(kind.name, job->work);
  return job;
}

std::optional<RefusalReason> Scheduler::CheckOffered(TimePoint now,
                                                     const Job& job) const {
  if (now < expected_until_) {
    return std::nullopt;
  }
  bool is_usable = true;
  for (std::size_t step = 0; step < job.steps.size(); ++step) {
    if (!fleet_.IsOffered(QueryFor(job, step))) {
      return RefusalReason::kNotOffered;
    }
    is_usable = is_usable && fleet_.Slots(job.spec.kind.service,
                                          job.spec.steps[step].needs, now) > 0;
  }
  return is_usable ? std::nullopt : std::optional(RefusalReason::kNoUpstream);
}

bool Scheduler::IsTooLong(TimePoint now, const Job& job) const {
  const double spread = model_.Spread(job.spec.kind.name);
  return now + Scale(job.predicted, 1 / spread) > job.deadline;
}

void Scheduler::Enqueue(Job& job) {
  auto it = queue_.end();
  while (it != queue_.begin()) {
    auto before = std::prev(it);
    if (before->latest_start <= job.latest_start) {
      break;
    }
    it = before;
  }
  queue_.insert(it, job);
}

TimePoint Scheduler::ExpectedEnd(TimePoint now, const Running& run) const {
  const StepState& step = run.job->steps[run.step];
  const Task& task = step.tasks[run.index];
  const Duration expected =
      Scale(step.longest_run > Duration(0) ? step.longest_run : step.predicted,
            std::max(1.0, fleet_.slowdown(run.upstream)));
  return std::max(task.started + expected, now + expected / kOverdueDivisor);
}

Forecast Scheduler::MakeForecast(TimePoint now) const {
  const Resources typical{
      .milli_cpus = static_cast<std::uint32_t>(typical_milli_cpus_),
      .memory_mb = typical_memory_mb_};
  std::vector<std::pair<std::uint32_t, TimePoint>> ends;
  ends.reserve(running_.size());
  for (const auto& [id, run] : running_) {
    ends.emplace_back(run.upstream, ExpectedEnd(now, run));
  }
  std::ranges::sort(ends);
  auto run = ends.begin();
  const bool is_expecting_upstreams = now < expected_until_;
  std::vector<TimePoint> free_at;
  for (std::uint32_t number = 0; number < fleet_.size(); ++number) {
    const bool counts_as_usable =
        (is_expecting_upstreams && fleet_.IsBecomingReady(number)) ||
        fleet_.IsBrieflyUnready(number, now);
    const std::uint32_t slots = counts_as_usable
                                    ? SlotsIn(fleet_.upstream(number), typical)
                                    : fleet_.SlotsOf(number, typical, now);
    std::uint32_t slot = 0;
    for (; run != ends.end() && run->first == number; ++run) {
      if (slot++ < slots) {
        free_at.push_back(run->second);
      }
    }
    for (; slot < slots; ++slot) {
      free_at.push_back(now);
    }
  }
  if (is_expecting_upstreams) {
    for (const Upstream& upstream : expected_upstreams_) {
      free_at.insert(free_at.end(), SlotsIn(upstream, typical), now);
    }
  }
  return {std::move(free_at), now};
}

// Refuses jobs until all waiting jobs are expected to end in time, as far as
// refusals can achieve that.
void Scheduler::Shed(TimePoint now, Actions& actions) {
  is_shed_due_ = false;
  next_shed_ = now + options_.shed_interval;
  if (!options_.sheds_load || queue_.empty()) {
    return;
  }
  ++shed_passes_;
  // Refusals free no slot that is in use, so each round starts with the same
  // forecast.
  const Forecast initial = MakeForecast(now);
  if (now < expected_until_ && initial.next_free() == TimePoint::max()) {
    return;
  }
  for (int round = 0; round < kMaxRefusalsPerShedPass && !queue_.empty();
       ++round) {
    Forecast forecast = initial;
    Job* victim = nullptr;
    bool misses_deadline = false;
    for (Job& job : queue_) {
      TimePoint end;
      for (const StepState& step : job.steps) {
        if (step.waiting > 0) {
          end = std::max(end, forecast.Add(step.waiting, step.predicted));
        }
      }
      misses_deadline = job.starts == 0 && end > job.deadline;
      if (end <= std::min(job.objective, job.deadline)) {
        continue;
      }
      victim = ChooseVictim(now, job);
      if (victim == nullptr && misses_deadline) {
        victim = &job;
      }
      if (victim != nullptr) {
        break;
      }
    }
    if (victim == nullptr) {
      return;
    }
    Refuse(now, *victim, RefusalReason::kOverloaded, actions);
  }
}

// Returns the job to refuse so that `late` may end in time: the one with the
// highest score among `late` and the jobs ahead of it in the queue, or null if
// none of them may be refused. If `late` has missed its latest start, only
// `late` itself is considered.
Job* Scheduler::ChooseVictim(TimePoint now, const Job& late) {
  const bool has_missed_latest_start = now > late.latest_start;
  Job* victim = nullptr;
  double highest = 0;
  for (Job& job : queue_) {
    const Duration refusal_window =
        Scale(job.objective - job.arrival, options_.refusal_window_fraction);
    const bool is_refusable =
        job.starts == 0 && now - job.arrival <= refusal_window;
    if (is_refusable && (!has_missed_latest_start || &job == &late)) {
      const KindPolicy& kind = job.spec.kind;
      const double mean = served_fractions_.MeanWork(kind.name, job.work);
      const double size =
          std::pow(job.work / std::max(mean, 1e-6), kSizeExponent);
      const double score = served_fractions_.ServedFraction(job.job_class) *
                           size * (1 + kPriorityWeight * kind.priority);
      if (score > highest) {
        highest = score;
        victim = &job;
      }
    }
    if (&job == &late) {
      break;
    }
  }
  return victim;
}

void Scheduler::Refuse(TimePoint now,
                       Job& job,
                       RefusalReason reason,
                       Actions& actions) {
  Trace(now, job, "refuse",
        std::string(ToString(reason)) +
            " predicted_ms=" + std::to_string(ToMilliseconds(job.predicted)) +
            " left_ms=" + std::to_string(ToMilliseconds(job.deadline - now)) +
            " queued=" + std::to_string(waiting_) + " served_part=" +
            std::to_string(served_fractions_.ServedFraction(job.job_class)));
  Fail(now, job, reason, actions);
}

// Returns the time after which the work that is waiting now is expected to have
// started, plus a jitter so that callers do not all retry at once.
Duration Scheduler::RetryAfter(TimePoint now, const std::string& job) const {
  Forecast forecast = MakeForecast(now);
  for (const Job& queued : queue_) {
    for (const StepState& step : queued.steps) {
      forecast.Add(step.waiting, step.predicted);
    }
  }
  const TimePoint free = forecast.next_free();
  // Between once and twice this time, so that the longest waits and the
  // shortest ones are spread as well.
  const Duration wait =
      free == TimePoint::max()
          ? kLongestRetry / 2
          : std::clamp(free - now, kShortestRetry, kLongestRetry / 2);
  // One pass of load shedding refuses many jobs at the same time.
  const auto jitter =
      static_cast<Duration::rep>(std::hash<std::string>()(job) % 1000);
  return wait + wait * jitter / 1000;
}

LoadReport Scheduler::Load(TimePoint now) const {
  LoadReport report;
  Forecast forecast = MakeForecast(now);
  for (const auto& [id, job] : jobs_) {
    for (std::size_t step = 0; step < job->steps.size(); ++step) {
      report.backlog_core_seconds +=
          job->steps[step].waiting * Seconds(job->steps[step].predicted) *
          job->spec.steps[step].needs.milli_cpus / 1000;
    }
  }
  for (const auto& [id, run] : running_) {
    report.backlog_core_seconds +=
        Seconds(ExpectedEnd(now, run) - now) *
        run.job->spec.steps[run.step].needs.milli_cpus / 1000;
  }
  for (const Job& job : queue_) {
    for (const StepState& step : job.steps) {
      forecast.Add(step.waiting, step.predicted);
    }
  }
  if (evacuation_.is_in_progress()) {
    report.wait = kLongestRetry;
    return report;
  }
  report.cores = fleet_.TotalCapacity(now).milli_cpus / 1000.0;
  const TimePoint free = forecast.next_free();
  report.wait = free == TimePoint::max() ? kLongestRetry : free - now;
  if (report.cores == 0 && now < expected_until_) {
    // While its upstreams are being taken over, the domain is preferable to one
    // without upstreams, and worse than any other.
    report.cores = 1;
    report.wait = expected_until_ - now;
  }
  return report;
}

}  // namespace jaypick::schedule
