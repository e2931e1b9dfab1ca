// Decides which task starts where and when, and which job is refused.
#ifndef JAYPICK_SCHEDULE_SCHEDULER_H_
#define JAYPICK_SCHEDULE_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jaypick/time.h"
#include "schedule/crash_history.h"
#include "schedule/evacuation.h"
#include "schedule/fleet.h"
#include "schedule/forecast.h"
#include "schedule/job.h"
#include "schedule/job_spec.h"
#include "schedule/memory_budget.h"
#include "schedule/messages.h"
#include "schedule/run_time_model.h"
#include "schedule/served_fraction_tracker.h"

namespace jaypick::schedule {

// Returns when somebody was last known to wait for a job.
using AttendanceQuery = std::function<TimePoint(const std::string& job)>;

struct SchedulerOptions {
  // A run that takes this many times its predicted time is stopped and retried
  // elsewhere. Once some tasks of its step have succeeded, the limit is the
  // longest of their run times, times the second factor.
  double straggler_factor = 3;
  double straggler_sibling_factor = 2.2;
  // No run is stopped as a straggler before this age.
  Duration min_straggler_age = std::chrono::milliseconds(100);
  // Minimum interval between two passes of load shedding. Each pass goes
  // through the whole queue, which is longest when jobs arrive fastest.
  Duration shed_interval = std::chrono::milliseconds(4);
  // Interval of checks for stragglers.
  Duration straggler_check_interval = std::chrono::milliseconds(25);
  // Maximum number of lost or stopped runs of one task; one more fails its job.
  std::uint32_t max_extra_runs = 3;
  // A task fails its job if this many upstreams have crashed under it. It is
  // not started again while as many have probably crashed, or while this many
  // were lost, including those that only fell silent.
  std::uint32_t max_crashes = 2;
  std::uint32_t max_upstreams_lost = 3;
  EvacuationOptions evacuation;
  // Shared by the schedulers of one instance. If null, the scheduler keeps its
  // own.
  CrashHistoryPointer crash_history;
  // Memory for jobs and for their runs, shared by the schedulers of one
  // instance. If null, the scheduler keeps its own, without a limit.
  MemoryBudgetPointer job_memory;
  MemoryBudgetPointer run_memory;
  // Fraction of the latency objective within which a waiting job may still be
  // refused in favour of others. Later, the caller has waited too long for a
  // refusal.
  double refusal_window_fraction = 0.25;
  // No run of a job starts if the job was attended longer ago than this. If
  // `attended_at` is empty, all jobs are attended at any time.
  AttendanceQuery attended_at;
  Duration longest_unattended_start{0};
  // If false, jobs are not refused for overload, but wait until their deadline.
  bool sheds_load = true;
  // Called for each invariant that does not hold; tests treat a call as a
  // failure.
  std::function<void(std::string_view invariant, const std::string& detail)>
      on_violation;
};

// Load of a scheduler as reported to other instances.
struct LoadReport {
  // Core-seconds of waiting tasks and of what remains of running ones.
  double backlog_core_seconds = 0;
  // Cores of the usable upstreams.
  double cores = 0;
  // Expected wait of a task that arrives now.
  Duration wait{0};

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

// A job that a scheduler has.
struct ActiveJob {
  std::string job;
  // See `JobSpec`.
  std::string entry_domain;
  // No run of the job starts later. Absent if it has ended and its runs are
  // being stopped.
  std::optional<TimePoint> latest_start;

  friend auto operator<=>(const ActiveJob&, const ActiveJob&) = default;
};

// Schedules jobs on the upstreams of a fleet.
//
// It does no I/O and reads no clock. `now` must not decrease from call to call.
class Scheduler {
 public:
  explicit Scheduler(SchedulerOptions options = {});
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  MemoryBudget& job_memory() const { return *options_.job_memory; }
  Fleet& fleet() { return fleet_; }
  const Fleet& fleet() const { return fleet_; }

  // Admits a job that arrived at `arrival`, or refuses it with `JobEnded`; one
  // without room in memory is refused before it is built. Does nothing if the
  // job with this id is in progress. If the job has ended but its runs are
  // still being stopped, it is admitted again after the last one.
  void Submit(TimePoint now,
              JobSpec spec,
              TimePoint arrival,
              TimePoint deadline,
              Actions& actions);

  // Upstreams are being taken over. Before `until`, jobs are not refused for
  // lack of an upstream, and two groups of upstreams count as free capacity:
  // `expected`, which the previous leader still leads, and listed upstreams
  // that are not ready yet.
  void ExpectUpstreams(TimePoint until, std::vector<Upstream> expected) {
    expected_until_ = until;
    expected_upstreams_ = std::move(expected);
  }

  // No run starts at `limit` or later. The knowledge of the upstreams is too
  // old by then: one that is shutting down may exit under the run.
  void SetStartLimit(TimePoint limit) { start_limit_ = limit; }
  TimePoint start_limit() const { return start_limit_; }

  // The operators evacuate the upstreams, or take them back. Jobs that have not
  // begun are refused; no further job begins, and no capacity is reported.
  // Upstreams that are cold after they were taken back get a slow start.
  void SetEvacuated(TimePoint now, bool is_evacuated, Actions& actions);
  bool is_evacuated() const { return evacuation_.is_in_progress(); }

  // The caller no longer waits for the job. The job may be submitted again to
  // another instance, so its runs are stopped.
  void Abandon(TimePoint now, const std::string& id, Actions& actions);

  void OnRunEnded(TimePoint now,
                  const RunId& run,
                  RunOutcome outcome,
                  Actions& actions);

  // An upstream responds that had not responded before, or another incarnation
  // of it.
  void OnUpstreamResponse(const UpstreamIncarnation& upstream);

  // This process was suspended. The run times of the current runs are not used
  // for predictions.
  void OnPause();

  // Ends all jobs with `reason`. Their runs count as ended; the caller must
  // ensure that none of their leases is extended.
  void EndAllJobs(TimePoint now, RefusalReason reason, Actions& actions);

  // Performs what is due at `now` (deadlines, stragglers, load shedding) and
  // starts waiting tasks.
  void Advance(TimePoint now, Actions& actions);

  // Time at which `Advance` is needed again, if nothing else happens.
  std::optional<TimePoint> next_wakeup(TimePoint now) const;

  LoadReport Load(TimePoint now) const;

  bool HasJob(const std::string& job) const { return jobs_.contains(job); }
  std::size_t jobs() const { return jobs_.size(); }
  std::vector<ActiveJob> ActiveJobs() const;
  std::optional<ActiveJob> FindActive(const std::string& job) const;
  std::size_t waiting_tasks() const { return waiting_; }
  std::size_t running_tasks() const { return running_.size(); }
  // Jobs whose tasks would have started if the jobs were attended.
  bool has_unattended_jobs() const { return has_unattended_jobs_; }
  // Number of passes of load shedding so far.
  std::uint64_t shed_passes() const { return shed_passes_; }
  // Number of runs on one upstream.
  std::size_t runs_on(std::uint32_t upstream) const;

 private:
  using Queue =
      boost::intrusive::list<Job, boost::intrusive::constant_time_size<false>>;

  struct Running {
    JobPointer job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t upstream = 0;
    std::int64_t upstream_started_unix_ms = 0;
    // The run keeps its upstream isolated.
    bool is_isolating = false;
    MemoryBudget::Reservation memory;
  };

  // Admission and load shedding (scheduler_admission.cc).
  JobPointer MakeJob(JobSpec spec,
                     MemoryBudget::Reservation memory,
                     TimePoint arrival,
                     TimePoint deadline) const;
  // Refuses a job for which there is no room in memory.
  void RefuseUnbuilt(TimePoint now,
                     const JobSpec& spec,
                     TimePoint arrival,
                     bool may_have_run,
                     Actions& actions) const;
  void Admit(TimePoint now, Job& job, Actions& actions);
  // Keeps `next` until the last run of `earlier` has ended.
  void Defer(TimePoint now, Job& earlier, JobPointer next, Actions& actions);
  // Removes a job that has ended with its last run, and admits its
  // resubmission.
  void Remove(TimePoint now, Job& job, Actions& actions);
  // Ends a resubmission that has not been admitted.
  void EndResubmission(TimePoint now,
                       Job& earlier,
                       RefusalReason reason,
                       Actions& actions);
  std::optional<RefusalReason> CheckOffered(TimePoint now,
                                            const Job& job) const;
  bool IsTooLong(TimePoint now, const Job& job) const;
  void Enqueue(Job& job);
  void Shed(TimePoint now, Actions& actions);
  Job* ChooseVictim(TimePoint now, const Job& late);
  Forecast MakeForecast(TimePoint now) const;
  TimePoint ExpectedEnd(TimePoint now, const Running& run) const;
  void Refuse(TimePoint now, Job& job, RefusalReason reason, Actions& actions);
  Duration RetryAfter(TimePoint now, const std::string& job) const;

  // Runs of tasks (scheduler.cc, scheduler_retries.cc).
  HealthSignal HealthOf(const Job& job, const Task& task, RunOutcome outcome);
  void StartWaitingTasks(TimePoint now, Actions& actions);
  bool IsAttended(TimePoint now, const Job& job) const;
  // Ends the waiting jobs that the evacuation in progress keeps from starting.
  void ApplyEvacuation(TimePoint now, Actions& actions);
  PlacementQuery QueryFor(const Job& job, std::size_t step) const;
  std::optional<std::uint32_t> ReservedUpstreamFor(TimePoint now,
                                                   const Job& job);
  std::optional<std::uint32_t> ChooseReservedUpstream(TimePoint now,
                                                      const Job& job) const;
  void Start(TimePoint now,
             Job& job,
             std::uint32_t step,
             std::uint32_t index,
             std::uint32_t upstream,
             MemoryBudget::Reservation memory,
             Actions& actions);
  void Stop(Job& job,
            std::uint32_t step,
            std::uint32_t index,
            Actions& actions);
  void CheckDeadlines(TimePoint now, Actions& actions);
  void CheckStragglers(TimePoint now, Actions& actions);
  bool IsStraggler(TimePoint now,
                   const Task& task,
                   const StepState& step) const;
  bool CanRetryInTime(TimePoint now,
                      const Job& job,
                      const StepState& step) const;
  void Unblock(Job& job);
  // Marks tasks that may have crashed an upstream, also in earlier submissions
  // of the job. Returns why the job cannot be run, if so.
  std::optional<RefusalReason> MarkSuspects(Job& job);
  // Records an upstream that was lost during the run.
  void RecordLoss(TimePoint now,
                  Job& job,
                  const Running& run,
                  RunOutcome outcome);
  // Returns why a task under which upstreams were lost is not started again, or
  // nullopt if it may be. It has failed only if the crashes are certain.
  std::optional<RefusalReason> CheckLosses(const TaskId& task) const;
  void Retry(TimePoint now,
             Job& job,
             std::uint32_t step,
             std::uint32_t index,
             RunOutcome outcome,
             Actions& actions);
  void EndJob(TimePoint now, Job& job, JobOutcome outcome, Actions& actions);
  void StopRuns(Job& job, Actions& actions);
  void Fail(TimePoint now, Job& job, RefusalReason reason, Actions& actions);
  void Trace(TimePoint now,
             Job& job,
             std::string_view event,
             std::string detail = "") const;
  void CheckInvariant(bool holds,
                      std::string_view invariant,
                      const Job& job) const;

  SchedulerOptions options_;
  Fleet fleet_;
  RunTimeModel model_;
  ServedFractionTracker served_fractions_;
  std::map<std::string, JobPointer, std::less<>> jobs_;
  // Jobs with waiting tasks, ordered by latest start.
  Queue queue_;
  std::map<RunId, Running> running_;
  std::size_t waiting_ = 0;
  // Smoothed processor need of a task.
  double typical_milli_cpus_ = 0;
  std::uint32_t typical_memory_mb_ = 0;
  // Smoothed fraction of the runs that failed, by kind.
  std::map<std::string, double, std::less<>> failure_rates_;
  // The upstream that is kept free for a large task. It is chosen anew after a
  // short time.
  struct Reservation {
    std::string job;
    std::optional<std::uint32_t> upstream;
    TimePoint until;
  };
  Reservation reservation_;
  bool has_unattended_jobs_ = false;
  // A pass of load shedding is due, as jobs have arrived or some time has
  // passed.
  bool is_shed_due_ = false;
  TimePoint next_shed_;
  std::uint64_t shed_passes_ = 0;
  TimePoint next_straggler_check_;
  TimePoint start_limit_ = TimePoint::max();
  Evacuation evacuation_;
  TimePoint expected_until_;
  // Upstreams that the previous leader still leads; not in the fleet yet.
  std::vector<Upstream> expected_upstreams_;
};

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_SCHEDULER_H_
