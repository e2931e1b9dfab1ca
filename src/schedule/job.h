// State of a job that a scheduler has admitted.
#ifndef JAYPICK_SCHEDULE_JOB_H_
#define JAYPICK_SCHEDULE_JOB_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "jaypick/time.h"
#include "schedule/job_spec.h"
#include "schedule/memory_budget.h"
#include "schedule/messages.h"
#include "schedule/served_fraction_tracker.h"

namespace jaypick::schedule {

enum class TaskState : std::uint8_t {
  // A step that this one depends on has not ended.
  kBlocked,
  kWaiting,
  kRunning,
  kSucceeded,
};

struct Task {
  TaskState state = TaskState::kBlocked;
  // Number of starts so far.
  std::uint32_t runs = 0;
  std::uint32_t failures = 0;
  // Number of runs that began and were lost or stopped.
  std::uint32_t lost = 0;
  // An upstream was lost while the task ran there, so the task may have crashed
  // it.
  bool is_suspected = false;
  std::uint32_t upstream = 0;
  TimePoint started;
  bool is_stopping = false;
  // False if this process was suspended during the run, so that the measured
  // run time is not meaningful.
  bool is_run_time_valid = true;
  // The run takes unusually long, and this has been recorded.
  bool is_overdue = false;
  // Upstreams that are not chosen again for this task: a run failed, was lost,
  // was stopped as a straggler or was refused as unhealthy there.
  std::vector<std::uint32_t> avoided_upstreams;
};

struct StepState {
  std::vector<Task> tasks;
  std::uint32_t unfinished = 0;
  std::uint32_t waiting = 0;
  Duration predicted{0};
  // The prediction is based on earlier runs of the kind, not on the declared
  // run time alone.
  bool is_learned = false;
  // Longest run of a task of this step that succeeded, as it would have been on
  // an upstream of the usual speed.
  Duration longest_run{0};
  // Number of running and ended tasks by upstream.
  std::map<std::uint32_t, std::uint32_t> placed;
};

struct Job : boost::intrusive::list_base_hook<
                 boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
             boost::intrusive_ref_counter<Job, boost::thread_unsafe_counter> {
  JobSpec spec;
  MemoryBudget::Reservation memory;
  TimePoint arrival;
  // The caller stops waiting for the answer at this time.
  TimePoint deadline;
  // Latest end with which the job meets its latency objective.
  TimePoint objective;
  // Latest start with which the job is predicted to meet its objective and its
  // deadline.
  TimePoint latest_start;
  // Predicted run time of the longest chain of dependent steps.
  Duration predicted{0};
  // Predicted work, core-seconds.
  double work = 0;
  ServedFractionTracker::JobClass job_class;
  std::vector<StepState> steps;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  std::uint32_t unfinished = 0;
  // Number of runs that may have had an effect. Starts that turn out to be
  // refused are subtracted again.
  std::uint32_t starts = 0;
  // The job has been answered; its remaining runs are being stopped.
  bool has_ended = false;
  // Runs of an earlier submission may have had an effect.
  bool may_have_run = false;
  // A later submission of this job, which is admitted when the last run has
  // ended. Null if there is none.
  boost::intrusive_ptr<Job> resubmission;
  std::vector<TraceEntry> trace;
};

using JobPointer = boost::intrusive_ptr<Job>;

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_JOB_H_
