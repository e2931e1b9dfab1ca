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
#include "schedule/fleet.h"
#include "schedule/forecast.h"
#include "schedule/job.h"
#include "schedule/job_spec.h"
#include "schedule/messages.h"
#include "schedule/run_time_model.h"
#include "schedule/served_fraction_tracker.h"

namespace jaypick::schedule {

struct SchedulerOptions {
  // A run that takes so many times its expected time is stopped and repeated
  // elsewhere; by the time of its siblings if some have ended.
  double straggler_factor = 3;
  double straggler_sibling_factor = 2.2;
  // No run is stopped as a straggler before this age.
  Duration min_straggler_age = std::chrono::milliseconds(100);
  // Least interval between two sheddings. Each one goes through the whole
  // queue, and the queue is long when jobs come fastest.
  Duration shed_interval = std::chrono::milliseconds(4);
  // Interval at which runs are checked for their age.
  Duration straggler_check_interval = std::chrono::milliseconds(25);
  // Runs of one task that may be lost or stopped.
  std::uint32_t max_extra_runs = 3;
  // Part of the latency objective within which a waiting job may still be
  // refused for the sake of others. Later the caller has waited too long for a
  // refusal.
  double refusal_window_fraction = 0.25;
  // Off: jobs wait until their deadline cannot be met any more.
  bool sheds_load = true;
  // Invariants that do not hold are reported here; tests make this fatal.
  std::function<void(std::string_view invariant, const std::string& detail)>
      on_violation;
};

// Load of a scheduler as others see it.
struct LoadReport {
  // Core-seconds that wait or are left to run.
  double backlog_core_seconds = 0;
  // Cores of the usable upstreams.
  double cores = 0;
  // Expected wait of a task that arrives now.
  Duration wait{0};

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

// Schedules jobs on the upstreams of a fleet.
//
// It does no I/O and reads no clock. `now` never decreases from call to call.
class Scheduler {
 public:
  explicit Scheduler(SchedulerOptions options = {});
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  Fleet& fleet() { return fleet_; }
  const Fleet& fleet() const { return fleet_; }

  // Takes a job that arrived at `arrival`, or refuses it with `JobEnded`.
  // A job that is known under this id goes on as it is.
  void Submit(TimePoint now,
              JobSpec spec,
              TimePoint arrival,
              TimePoint deadline,
              Actions& actions);

  // Upstreams are being taken over. Until then, jobs are not refused because
  // there is none, and neither `withheld`, which a predecessor still commands,
  // nor listed upstreams that are not ready yet count as missing room.
  void ExpectUpstreams(TimePoint until, std::vector<Upstream> withheld) {
    expecting_until_ = until;
    withheld_ = std::move(withheld);
  }

  // Nobody waits for the job any more. It may be submitted again elsewhere, so
  // its runs are stopped.
  void Abandon(TimePoint now, const std::string& id, Actions& actions);

  void OnRunEnded(TimePoint now,
                  const RunId& run,
                  RunOutcome end,
                  Actions& actions);

  // This process did not run for a while. The times of runs that began before
  // then are not learned from.
  void OnPause();

  // Ends all jobs with `reason`. Their runs count as ended; the caller makes
  // sure that no lease of them is extended.
  void EndAllJobs(TimePoint now, RefusalReason reason, Actions& actions);

  // Handles what is due and starts what can be started.
  void Advance(TimePoint now, Actions& actions);

  // Time at which `Advance` is needed again, if nothing else happens.
  std::optional<TimePoint> next_wakeup(TimePoint now) const;

  LoadReport Load(TimePoint now) const;

  bool HasJob(const std::string& job) const { return jobs_.contains(job); }
  std::size_t jobs() const { return jobs_.size(); }
  std::size_t waiting_tasks() const { return waiting_; }
  std::size_t running_tasks() const { return running_.size(); }
  // How often the whole queue was gone through for refusals.
  std::uint64_t sheddings() const { return sheddings_; }
  // Runs at one upstream.
  std::size_t runs_on(std::uint32_t upstream) const;

 private:
  using Queue =
      boost::intrusive::list<Job, boost::intrusive::constant_time_size<false>>;

  struct Running {
    JobPointer job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t upstream = 0;
  };

  // Taking jobs (scheduler_admission.cc).
  JobPointer MakeJob(JobSpec spec, TimePoint arrival, TimePoint deadline) const;
  std::optional<RefusalReason> CheckOffered(TimePoint now,
                                            const Job& job) const;
  bool IsTooLong(TimePoint now, const Job& job) const;
  void Enqueue(Job& job);
  void Shed(TimePoint now, Actions& actions);
  Job* ChooseVictim(TimePoint now, const Job& late);
  Forecast MakeForecast(TimePoint now) const;
  TimePoint ExpectedEnd(TimePoint now, const Running& run) const;
  void Refuse(TimePoint now, Job& job, RefusalReason reason, Actions& actions);
  Duration RetryAfter(TimePoint now) const;

  // Running tasks (scheduler.cc).
  HealthSignal HealthOf(const Job& job, const Task& task, RunOutcome end);
  void StartWaitingTasks(TimePoint now, Actions& actions);
  PlacementQuery QueryFor(const Job& job, std::size_t step) const;
  std::optional<std::uint32_t> ReservationFor(TimePoint now, const Job& job);
  std::optional<std::uint32_t> ReserveFor(TimePoint now, const Job& job) const;
  void Start(TimePoint now,
             Job& job,
             std::uint32_t step,
             std::uint32_t index,
             std::uint32_t upstream,
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
  bool MayRepeat(TimePoint now, const Job& job, const StepState& step) const;
  void Unblock(Job& job);
  void Repeat(TimePoint now,
              Job& job,
              std::uint32_t step,
              std::uint32_t index,
              RunOutcome end,
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
  // Jobs with waiting tasks, by latest start.
  Queue queue_;
  std::map<RunId, Running> running_;
  std::size_t waiting_ = 0;
  // Smoothed processors of a task.
  double typical_milli_cpus_ = 0;
  std::uint32_t typical_memory_mb_ = 0;
  // Smoothed part of the runs that failed, by kind.
  std::map<std::string, double, std::less<>> failing_part_;
  // The upstream that is kept free for a large task, found anew now and then.
  struct Reservation {
    std::string job;
    std::optional<std::uint32_t> upstream;
    TimePoint until;
  };
  Reservation reservation_;
  // Jobs have come since the last shedding.
  bool is_shed_due_ = false;
  TimePoint next_shed_;
  std::uint64_t sheddings_ = 0;
  TimePoint next_straggler_check_;
  TimePoint expecting_until_;
  // Not in the fleet yet.
  std::vector<Upstream> withheld_;
};

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_SCHEDULER_H_
